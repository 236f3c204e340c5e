//! What counts as a segment of a path.

/// Whether a backend server could read `path` as another one: dot segments, encoded slashes, empty segments.
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

/// The prefixes of `path`, the longest first, ending with `/`.
///
/// One that ends with a slash stands for what lies below it alone, one without for its whole
/// segment as well.
pub(super) fn prefixes(path: &str, most_bytes: usize) -> impl Iterator<Item = &str> {
    let whole = Some(path).filter(|path| path.len() <= most_bytes && !path.ends_with('/'));
    let cut = path.len().min(most_bytes.saturating_add(1));
    let shorter = path.as_bytes()[..cut]
        .iter()
        .enumerate()
        .rev()
        .filter(|(index, byte)| **byte == b'/' && *index > 0)
        .flat_map(|(index, _)| [&path[..=index], &path[..index]]);
    whole.into_iter().chain(shorter).chain(Some("/"))
}
