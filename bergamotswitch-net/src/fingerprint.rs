//! Provides the hash that identifies calls with the same content.

use bytes::Bytes;
use http::Method;
use xxhash_rust::xxh3::Xxh3;

/// Get the hash of a call's method, resource and body. The separators keep the
/// parts of the hashed text distinct.
pub(crate) fn fingerprint(method: &Method, resource: &str, body: &Bytes) -> u128 {
    let mut hash = Xxh3::new();
    hash.update(method.as_str().as_bytes());
    hash.update(b"\n");
    hash.update(resource.as_bytes());
    hash.update(b"\n");
    hash.update(body);
    hash.digest128()
}
