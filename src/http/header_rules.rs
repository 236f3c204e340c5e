//! Which headers cross the fleet, what they are called, and where a key may hide.

use actix_http::StatusCode;
use actix_http::header::{AUTHORIZATION, HeaderMap, HeaderName};
use memchr::{memchr, memmem};

use crate::settings::{HeaderField, HeaderSettings};
use crate::verdict::VERDICT_HEADER;

/// Headers that belong to one connection, as HTTP names them.
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

/// Plain names and values, as they travel between daemons.
pub type HeaderList = Vec<(String, Vec<u8>)>;

/// The headers that the fleet reads, sets or keeps to itself.
#[derive(Debug, Clone)]
pub struct HeaderRules {
    settings: HeaderSettings,
    /// Names that never cross as they came: those of each hop and those that the fleet sets.
    own: Vec<HeaderName>,
}

impl HeaderRules {
    /// The rules of `settings`.
    #[must_use]
    pub fn open(settings: &HeaderSettings) -> Self {
        let set = [
            &settings.expected_instance,
            &settings.account,
            &settings.caller,
        ];
        let mut own = vec![settings.request.get(), settings.deadline.get()];
        own.push(HeaderName::from_static(VERDICT_HEADER));
        own.extend(set.into_iter().flatten().map(|field| field.get()));
        Self {
            settings: settings.clone(),
            own,
        }
    }

    /// The header that names a request; an answer that names another request is not passed on.
    #[must_use]
    pub fn request(&self) -> HeaderName {
        self.settings.request.get()
    }

    /// The header in which a caller names its deadline, in milliseconds from now.
    #[must_use]
    pub fn deadline(&self) -> HeaderName {
        self.settings.deadline.get()
    }

    /// Whether backend servers see the caller's own name of a request.
    #[must_use]
    pub const fn keeps_request_name(&self) -> bool {
        self.settings.keep_request_name
    }

    /// Whether backend servers see the host that the caller addressed.
    #[must_use]
    pub const fn keeps_host(&self) -> bool {
        self.settings.keep_host
    }

    /// The header that tells a backend server which instance a request is for.
    #[must_use]
    pub fn expected_instance(&self) -> Option<HeaderName> {
        let field = self.settings.expected_instance.as_ref();
        field.map(HeaderField::get)
    }

    /// The header that tells a backend server the client account.
    #[must_use]
    pub fn account(&self) -> Option<HeaderName> {
        self.settings.account.as_ref().map(HeaderField::get)
    }

    /// The header that tells a backend server the service beside the ingress.
    #[must_use]
    pub fn caller(&self) -> Option<HeaderName> {
        self.settings.caller.as_ref().map(HeaderField::get)
    }

    /// Whether an answer with `headers` and `status` says that the request was not run.
    #[must_use]
    pub fn says_not_run(&self, status: u16, headers: &HeaderMap) -> bool {
        let Some(field) = &self.settings.not_run else {
            return false;
        };
        status == StatusCode::MISDIRECTED_REQUEST.as_u16() || headers.contains_key(field.get())
    }

    /// The headers of a caller's request that may cross to a backend server.
    #[must_use]
    pub fn forwardable_request(&self, headers: &HeaderMap, secret: Option<&str>) -> HeaderList {
        let credentials = &self.settings.credentials;
        let is_credential =
            |name: &str| credentials.iter().any(|field| field.get().as_str() == name);
        let shows = |bytes: &[u8]| secret.is_some_and(|secret| contains_secret(bytes, secret));
        self.forwardable(headers)
            .into_iter()
            .filter(|(name, _)| name != AUTHORIZATION.as_str() && !is_credential(name))
            .filter(|(name, value)| !shows(value) && !shows(name.as_bytes()))
            .collect()
    }

    /// The headers of a backend server's answer that may cross to the caller.
    #[must_use]
    pub fn forwardable(&self, headers: &HeaderMap) -> HeaderList {
        let named = named_by_connection(headers);
        headers
            .iter()
            .map(|(name, value)| {
                (
                    name.as_str().to_ascii_lowercase(),
                    value.as_bytes().to_vec(),
                )
            })
            .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
            .filter(|(name, _)| !self.own.iter().any(|own| own.as_str() == name))
            .filter(|(name, _)| !named.contains(name))
            .collect()
    }
}

impl Default for HeaderRules {
    fn default() -> Self {
        Self::open(&HeaderSettings::default())
    }
}

/// Whether `bytes` hold the secret, plainly or percent-encoded.
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

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits.get(..2)?).ok()?;
    u8::from_str_radix(text, 16).ok()
}

fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
