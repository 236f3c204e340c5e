//! Which headers the fleet forwards, sets or removes, and detection of client keys in a request.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{AUTHORIZATION, HeaderMap, HeaderName};
use memchr::{memchr, memmem};

use crate::execution_verdict::VERDICT_HEADER;
use crate::settings::{HeaderField, HeaderSettings};
use crate::units::Rate;

/// Headers that a proxy must not forward: the hop-by-hop headers of HTTP, and those that the next
/// hop sets for itself.
const HOP_BY_HOP_HEADERS: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "host",
];

/// Lowest limit that is kept, in requests per second.
const MIN_STATED_LIMIT: f64 = 0.25;

/// Header names and values as daemons send them to each other.
pub type HeaderList = Vec<(String, Vec<u8>)>;

/// Decides which headers are forwarded between callers and backend servers.
#[derive(Debug, Clone)]
pub struct HeaderRules {
    settings: HeaderSettings,
    /// Headers that the fleet sets itself and therefore never forwards as received.
    reserved: Vec<HeaderName>,
}

impl HeaderRules {
    /// Creates the rules for the header names in `settings`.
    #[must_use]
    pub fn open(settings: &HeaderSettings) -> Self {
        let set = [
            &settings.expected_instance,
            &settings.account,
            &settings.caller,
        ];
        let mut reserved = vec![settings.request.get(), settings.deadline.get()];
        reserved.push(HeaderName::from_static(VERDICT_HEADER));
        reserved.extend(set.into_iter().flatten().map(|field| field.get()));
        Self {
            settings: settings.clone(),
            reserved,
        }
    }

    /// Returns the header that carries the request name. A response that names another request is
    /// not forwarded.
    #[must_use]
    pub fn request(&self) -> HeaderName {
        self.settings.request.get()
    }

    /// Returns whether a response without the request name belongs to no request.
    #[must_use]
    pub const fn echoes_request(&self) -> bool {
        self.settings.echoes_request
    }

    /// Returns the header that every success of a backend server carries; none when they carry none.
    #[must_use]
    pub fn stamp(&self) -> Option<HeaderName> {
        self.settings.stamp.as_ref().map(HeaderField::get)
    }

    /// Returns the header in which a caller sends its deadline, in milliseconds from now.
    #[must_use]
    pub fn deadline(&self) -> HeaderName {
        self.settings.deadline.get()
    }

    /// Returns whether backend servers get the caller's request name instead of the ingress's.
    #[must_use]
    pub const fn keeps_request_name(&self) -> bool {
        self.settings.keep_request_name
    }

    /// Returns whether backend servers get the caller's `Host` header instead of their own address.
    #[must_use]
    pub const fn keeps_host(&self) -> bool {
        self.settings.keep_host
    }

    /// Returns the header that tells a backend server which instance a request is for; none when it
    /// is not sent.
    #[must_use]
    pub fn expected_instance(&self) -> Option<HeaderName> {
        let field = self.settings.expected_instance.as_ref();
        field.map(HeaderField::get)
    }

    /// Returns the header that tells a backend server the client account; none when it is not sent.
    #[must_use]
    pub fn account(&self) -> Option<HeaderName> {
        self.settings.account.as_ref().map(HeaderField::get)
    }

    /// Returns the header that tells a backend server which service runs beside the ingress; none
    /// when it is not sent.
    #[must_use]
    pub fn caller(&self) -> Option<HeaderName> {
        self.settings.caller.as_ref().map(HeaderField::get)
    }

    /// Returns whether a backend server's response says that it did not run the request: by status
    /// 421 or by the header in the settings. Always false when the settings name no such header.
    #[must_use]
    pub fn says_not_run(&self, status: u16, headers: &HeaderMap) -> bool {
        let Some(field) = &self.settings.not_run else {
            return false;
        };
        status == StatusCode::MISDIRECTED_REQUEST.as_u16() || headers.contains_key(field.get())
    }

    /// Returns the limit that a backend server's response states; none when it states none or one that
    /// cannot be read. A limit of zero counts as the lowest one, so that its end is noticed.
    #[must_use]
    pub fn stated_limit(&self, headers: &HeaderMap) -> Option<Rate> {
        let field = self.settings.limit.as_ref()?;
        let text = headers.get(field.get())?.to_str().ok()?;
        let per_second: f64 = text.trim().parse().ok()?;
        Rate::from_events_per_second(per_second.max(MIN_STATED_LIMIT))
    }

    /// Returns whether a backend server's response says that it leaves.
    #[must_use]
    pub fn says_leaving(&self, headers: &HeaderMap) -> bool {
        let field = self.settings.leaving.as_ref();
        field.is_some_and(|field| headers.contains_key(field.get()))
    }

    /// Returns how long a backend server's response says that it stays cold, zero while it is warm;
    /// none when the response does not say or cannot be read.
    #[must_use]
    pub fn stated_coldness(&self, headers: &HeaderMap) -> Option<Duration> {
        let field = self.settings.cold.as_ref()?;
        let text = headers.get(field.get())?.to_str().ok()?;
        let millis: f64 = text.trim().parse().ok()?;
        Duration::try_from_secs_f64(millis / 1_000.0).ok()
    }

    /// Returns the headers of a caller's request to forward to a backend server: those of
    /// `forwardable` without credentials and without any header that contains `secret`.
    #[must_use]
    pub fn forwardable_request(&self, headers: &HeaderMap, secret: Option<&str>) -> HeaderList {
        let credentials = &self.settings.credentials;
        let is_credential =
            |name: &str| credentials.iter().any(|field| field.get().as_str() == name);
        let contains_key =
            |bytes: &[u8]| secret.is_some_and(|secret| contains_secret(bytes, secret));
        self.forwardable(headers)
            .into_iter()
            .filter(|(name, _)| name != AUTHORIZATION.as_str() && !is_credential(name))
            .filter(|(name, value)| !contains_key(value) && !contains_key(name.as_bytes()))
            .collect()
    }

    /// Returns the headers of a request or response to forward: all but the hop-by-hop headers and
    /// those that the fleet sets itself.
    #[must_use]
    pub fn forwardable(&self, headers: &HeaderMap) -> HeaderList {
        let hop_by_hop = connection_options(headers);
        headers
            .iter()
            .map(|(name, value)| {
                (
                    name.as_str().to_ascii_lowercase(),
                    value.as_bytes().to_vec(),
                )
            })
            .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
            .filter(|(name, _)| {
                !self
                    .reserved
                    .iter()
                    .any(|reserved| reserved.as_str() == name)
            })
            .filter(|(name, _)| !hop_by_hop.contains(name))
            .collect()
    }
}

impl Default for HeaderRules {
    fn default() -> Self {
        Self::open(&HeaderSettings::default())
    }
}

/// Returns whether `bytes` contain the secret, plain or percent-encoded.
#[must_use]
pub fn contains_secret(bytes: &[u8], secret: &str) -> bool {
    if secret.is_empty() {
        return false;
    }
    let is_escaped = memchr(b'%', bytes).is_some();
    memmem::find(bytes, secret.as_bytes()).is_some()
        || (is_escaped && memmem::find(&percent_decoded(bytes), secret.as_bytes()).is_some())
}

fn percent_decoded(bytes: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some((first, after)) = rest.split_first() {
        let escaped = (*first == b'%').then(|| hex_byte(after)).flatten();
        decoded.push(escaped.unwrap_or(*first));
        rest = if escaped.is_some() {
            &after[2..]
        } else {
            after
        };
    }
    decoded
}

/// Parses two hexadecimal digits at the start of `digits`.
fn hex_byte(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits.get(..2)?).ok()?;
    u8::from_str_radix(text, 16).ok()
}

/// Returns the headers that `Connection` lists as hop-by-hop, in lower case.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
