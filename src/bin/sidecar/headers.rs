//! Selects the headers that are forwarded.

use hyper::Uri;
use hyper::header::{self, HeaderMap, HeaderName};

/// Headers that belong to one connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Path and query, as forwarded to endpoints.
pub fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .and_then(|p| Uri::try_from(p.as_str()).ok())
        .unwrap_or_default()
}

/// Headers without those of one connection or of the framing of one message.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in HOP_BY_HOP
        .iter()
        .chain(&connection_headers)
        .chain([&header::CONTENT_LENGTH, &header::EXPECT])
    {
        headers.remove(name);
    }
    headers
}
