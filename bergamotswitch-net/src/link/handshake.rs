//! Provides the handshake of a link, which identifies both hosts and proves that
//! they know the shared key.
//!
//! It consists of two exchanges on the link's connection, with all data in header
//! fields:
//!
//! 1. `GET /link` carries the dialler's [`Hello`], the answer the acceptor's. Each
//!    contains a fresh random nonce.
//! 2. `POST /link` carries the dialler's proof, the answer the acceptor's. The
//!    bodies of this request and answer carry the link's messages.
//!
//! A proof is an HMAC-SHA256 under the shared key over both hellos and the role of
//! the proving side. The key is never transmitted, the nonces prevent replay, and
//! the role prevents reflection of a proof to its sender. The dialler proves itself
//! first, so that an unauthenticated dialler receives no proof for an offline attack
//! on the key. Messages after the handshake are neither encrypted nor authenticated:
//! the network between the hosts is assumed to preserve their integrity.

use std::fmt;

use bergamotswitch_core::host::{HostIncarnation, HostName};
use bergamotswitch_core::link::{LINK_VERSION, MESSAGE_SET};
use hmac::{Hmac, Mac};
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::Serialize;
use sha2::Sha256;

/// The path of a link at its acceptor.
pub const LINK_PATH: &str = "/link";

const VERSION_FIELD: &str = "link-version";
const INCARNATION_FIELD: &str = "link-run";
const NONCE_FIELD: &str = "link-nonce";
const MESSAGES_FIELD: &str = "link-messages";
const PROOF_FIELD: &str = "link-proof";

/// A `PeerRefusal` is the reason why a connection is refused as a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRefusal {
    /// The peer has another protocol version, given by the field.
    Version(String),
    /// A handshake header field is absent or unreadable.
    Malformed,
    /// No host list or key is set yet.
    NotReady,
    /// The host is not on the host list, or is not the dialled one.
    UnknownHost(HostName),
    /// The host's proof of the shared key is invalid.
    BadProof(HostName),
    /// The handshake timed out.
    Timeout,
    /// Too many handshakes are in progress.
    TooMany,
}

impl PeerRefusal {
    /// Get the HTTP status of the refusal.
    pub fn status(&self) -> StatusCode {
        match self {
            PeerRefusal::Version(_) => StatusCode::UPGRADE_REQUIRED,
            PeerRefusal::Malformed => StatusCode::BAD_REQUEST,
            PeerRefusal::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            PeerRefusal::UnknownHost(_) => StatusCode::FORBIDDEN,
            PeerRefusal::BadProof(_) => StatusCode::UNAUTHORIZED,
            PeerRefusal::Timeout => StatusCode::REQUEST_TIMEOUT,
            PeerRefusal::TooMany => StatusCode::TOO_MANY_REQUESTS,
        }
    }
}

impl fmt::Display for PeerRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerRefusal::Version(found) => write!(
                f,
                "link version {found:?} is not spoken here, only {LINK_VERSION}"
            ),
            PeerRefusal::Malformed => write!(f, "a header field of the handshake is unreadable"),
            PeerRefusal::NotReady => write!(f, "no host list and key are known here yet"),
            PeerRefusal::UnknownHost(host) => write!(f, "host {host} may not link here"),
            PeerRefusal::BadProof(host) => {
                write!(f, "host {host} does not prove that it knows the link key")
            }
            PeerRefusal::Timeout => write!(f, "the handshake took too long"),
            PeerRefusal::TooMany => write!(f, "too many connections are in their handshake"),
        }
    }
}

impl std::error::Error for PeerRefusal {}

/// A `LinkKey` is the key that all hosts share. Its `Debug` form does not contain it.
#[derive(Clone, PartialEq, Eq)]
pub struct LinkKey(Vec<u8>);

impl LinkKey {
    /// Get a key from its text form.
    pub fn new(text: &str) -> Self {
        LinkKey(text.as_bytes().to_vec())
    }

    /// Get whether the key is empty and therefore offers no protection.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LinkKey(..)")
    }
}

/// A `Hello` is the identification that each side sends in the first exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Hello {
    version: u16,
    incarnation: HostIncarnation,
    nonce: u128,
    /// The newest message set that the side supports. It is not part of the proof,
    /// because releases without message sets could not verify such a proof.
    #[serde(skip)]
    message_set: u16,
}

impl Hello {
    /// Get a hello of a host incarnation with a fresh nonce.
    pub fn new(incarnation: &HostIncarnation) -> Self {
        Hello {
            version: LINK_VERSION,
            incarnation: incarnation.clone(),
            nonce: rand::random(),
            message_set: MESSAGE_SET,
        }
    }

    /// Get the host incarnation that sends the hello.
    pub fn incarnation(&self) -> &HostIncarnation {
        &self.incarnation
    }

    /// Get the newest message set that the sender supports.
    pub fn message_set(&self) -> u16 {
        self.message_set
    }

    /// Write the hello into header fields.
    pub fn write(&self, fields: &mut HeaderMap) {
        fields.insert(VERSION_FIELD, HeaderValue::from(self.version));
        fields.insert(MESSAGES_FIELD, HeaderValue::from(self.message_set));
        insert_text(fields, INCARNATION_FIELD, &self.incarnation.to_string());
        insert_text(fields, NONCE_FIELD, &format!("{:032x}", self.nonce));
    }

    /// Try to read a hello from header fields.
    ///
    /// # Errors
    ///
    /// Returns [`PeerRefusal::Version`] if the version differs, before other fields
    /// are read, because their format may differ. Returns [`PeerRefusal::Malformed`]
    /// if a field is absent or unreadable.
    pub fn read(fields: &HeaderMap) -> Result<Self, PeerRefusal> {
        let version = field_text(fields, VERSION_FIELD)?;
        if version != LINK_VERSION.to_string() {
            return Err(PeerRefusal::Version(version.to_owned()));
        }
        let incarnation = HostIncarnation::try_from(field_text(fields, INCARNATION_FIELD)?)
            .map_err(|_| PeerRefusal::Malformed)?;
        let nonce = u128::from_str_radix(field_text(fields, NONCE_FIELD)?, 16)
            .map_err(|_| PeerRefusal::Malformed)?;
        // A release without message sets supports only the original set.
        let message_set = field_text(fields, MESSAGES_FIELD).unwrap_or("0");
        let message_set = message_set.parse().map_err(|_| PeerRefusal::Malformed)?;
        Ok(Hello {
            version: LINK_VERSION,
            incarnation,
            nonce,
            message_set,
        })
    }
}

/// A `LinkRole` is a side of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum LinkRole {
    /// The side that opened the connection.
    Dialler,
    /// The side that accepted the connection.
    Acceptor,
}

/// A `HelloPair` is the two hellos of one handshake.
#[derive(Clone, Debug, Serialize)]
pub struct HelloPair {
    /// The dialler's hello.
    pub dialler: Hello,
    /// The acceptor's hello.
    pub acceptor: Hello,
}

impl HelloPair {
    fn mac(&self, key: &LinkKey, role: LinkRole) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&key.0).expect("HMAC accepts a key of any length");
        mac.update(b"bergamotswitch link");
        // The encoding contains the lengths of names, so that different pairs never
        // have the same bytes.
        let text = bincode::serde::encode_to_vec((role, self), bincode::config::standard())
            .expect("bincode encodes any pair of hellos");
        mac.update(&text);
        mac
    }

    /// Write the proof of the side `role` into header fields.
    pub fn write_proof(&self, key: &LinkKey, role: LinkRole, fields: &mut HeaderMap) {
        let proof = self.mac(key, role).finalize().into_bytes();
        let digits: String = proof.iter().map(|byte| format!("{byte:02x}")).collect();
        insert_text(fields, PROOF_FIELD, &digits);
    }

    /// Verify the proof of the side `role` in header fields, in constant time.
    ///
    /// # Errors
    ///
    /// Returns [`PeerRefusal::BadProof`] if the proof is invalid, and
    /// [`PeerRefusal::Malformed`] if it is absent or unreadable.
    pub fn check_proof(
        &self,
        key: &LinkKey,
        role: LinkRole,
        fields: &HeaderMap,
    ) -> Result<(), PeerRefusal> {
        let prover = match role {
            LinkRole::Dialler => &self.dialler,
            LinkRole::Acceptor => &self.acceptor,
        };
        let bytes = hex_bytes(field_text(fields, PROOF_FIELD)?)?;
        self.mac(key, role)
            .verify_slice(&bytes)
            .map_err(|_| PeerRefusal::BadProof(prover.incarnation.host.clone()))
    }
}

fn insert_text(fields: &mut HeaderMap, name: &'static str, text: &str) {
    // All values are names, numbers and digits in visible ASCII. If one were not, the
    // peer would refuse the handshake because of the absent field.
    if let Ok(value) = HeaderValue::from_str(text) {
        fields.insert(name, value);
    }
}

fn field_text<'a>(fields: &'a HeaderMap, name: &str) -> Result<&'a str, PeerRefusal> {
    let value = fields.get(name).ok_or(PeerRefusal::Malformed)?;
    value.to_str().map_err(|_| PeerRefusal::Malformed)
}

fn hex_bytes(digits: &str) -> Result<Vec<u8>, PeerRefusal> {
    if !digits.is_ascii() {
        return Err(PeerRefusal::Malformed);
    }
    digits
        .as_bytes()
        .chunks(2)
        .map(|pair| {
            let pair = std::str::from_utf8(pair).map_err(|_| PeerRefusal::Malformed)?;
            u8::from_str_radix(pair, 16).map_err(|_| PeerRefusal::Malformed)
        })
        .collect()
}
