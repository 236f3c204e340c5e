//! Splits URL paths into segments and prefixes.

/// Whether a backend server could normalize `path` to a different path, because it contains dot
/// segments, empty segments, encoded slashes or backslashes.
#[must_use]
pub(super) fn is_ambiguous(path: &str) -> bool {
    let inner = path.strip_prefix('/').unwrap_or(path);
    let inner = inner.strip_suffix('/').unwrap_or(inner);
    let lower = inner.to_ascii_lowercase();
    if lower.contains("%2f") || lower.contains("%5c") || lower.contains('\\') {
        return true;
    }
    !lower.is_empty() && lower.split('/').any(is_ambiguous_segment)
}

fn is_ambiguous_segment(segment: &str) -> bool {
    segment.is_empty() || matches!(segment.replace("%2e", ".").as_str(), "." | "..")
}

/// The prefixes of `path` in whole segments of at most `max_bytes`, from the longest to `/`.
///
/// A prefix with a trailing slash matches only paths below it. A prefix without one also matches
/// the path itself.
pub(super) fn prefixes(path: &str, max_bytes: usize) -> impl Iterator<Item = &str> {
    let whole = Some(path).filter(|path| path.len() <= max_bytes && !path.ends_with('/'));
    let cut = path.len().min(max_bytes.saturating_add(1));
    let shorter = path.as_bytes()[..cut]
        .iter()
        .enumerate()
        .rev()
        .filter(|(index, byte)| **byte == b'/' && *index > 0)
        .flat_map(|(index, _)| [&path[..=index], &path[..index]]);
    whole.into_iter().chain(shorter).chain(Some("/"))
}
