//! Provides the handshake of a link: who the peer is, and the proof that it
//! knows the shared key.
//!
//! Two exchanges over the link's own connection, all in header fields:
//!
//! 1. `GET /link` carries the dialler's [`Hello`]; the answer carries the
//!    acceptor's. Each has a fresh random nonce.
//! 2. `POST /link` carries the dialler's proof; the answer carries the
//!    acceptor's, and both bodies are the link.
//!
//! A proof is an HMAC-SHA256 under the shared key over both hellos and the
//! role of the prover. The key never crosses the wire; the nonces make a
//! recorded proof worthless, the role keeps a proof from being sent back to
//! its maker. The dialler proves itself first, so a stranger gets no proof to
//! guess keys from. What follows the handshake is neither encrypted nor
//! authenticated: the network between the hosts is trusted that far.

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
const RUN_FIELD: &str = "link-run";
const NONCE_FIELD: &str = "link-nonce";
const MESSAGES_FIELD: &str = "link-messages";
const PROOF_FIELD: &str = "link-proof";

/// A `PeerRefusal` is the reason why a connection is not taken as a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRefusal {
    /// The peer speaks another version, which the field tells.
    Version(String),
    /// A header field is absent or unreadable.
    Malformed,
    /// No roster is set yet.
    NotReady,
    /// The roster does not have the host, or it is not the dialled one.
    UnknownHost(HostName),
    /// The host does not prove that it knows the key.
    BadProof(HostName),
    /// The handshake took too long.
    Timeout,
    /// Too many connections are in their handshake.
    TooMany,
}

impl PeerRefusal {
    /// Get the status of the answer that refuses.
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

/// A `LinkKey` is the key that all hosts share. It is never shown.
#[derive(Clone, PartialEq, Eq)]
pub struct LinkKey(Vec<u8>);

impl LinkKey {
    /// Get the key of a text.
    pub fn new(text: &str) -> Self {
        LinkKey(text.as_bytes().to_vec())
    }

    /// Get whether the key is empty: anyone knows that one.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LinkKey(..)")
    }
}

/// A `Hello` is what each side says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Hello {
    version: u16,
    incarnation: HostIncarnation,
    nonce: u128,
    /// The newest set of messages that it knows. It is left out of the proof:
    /// hosts from before it would find no proof right.
    #[serde(skip)]
    message_set: u16,
}

impl Hello {
    /// Get a hello of `run` with a fresh nonce.
    pub fn new(incarnation: &HostIncarnation) -> Self {
        Hello {
            version: LINK_VERSION,
            incarnation: incarnation.clone(),
            nonce: rand::random(),
            message_set: MESSAGE_SET,
        }
    }

    /// Get the run that says hello.
    pub fn incarnation(&self) -> &HostIncarnation {
        &self.incarnation
    }

    /// Get the newest set of messages that this side knows.
    pub fn message_set(&self) -> u16 {
        self.message_set
    }

    /// Add the hello to header fields.
    pub fn write(&self, fields: &mut HeaderMap) {
        fields.insert(VERSION_FIELD, HeaderValue::from(self.version));
        fields.insert(MESSAGES_FIELD, HeaderValue::from(self.message_set));
        insert_text(fields, RUN_FIELD, &self.incarnation.to_string());
        insert_text(fields, NONCE_FIELD, &format!("{:032x}", self.nonce));
    }

    /// Try to get the hello from header fields.
    ///
    /// # Errors
    ///
    /// Returns [`PeerRefusal::Version`] before anything else is read: another
    /// version may write the other fields in another way.
    pub fn read(fields: &HeaderMap) -> Result<Self, PeerRefusal> {
        let version = field_text(fields, VERSION_FIELD)?;
        if version != LINK_VERSION.to_string() {
            return Err(PeerRefusal::Version(version.to_owned()));
        }
        let incarnation = HostIncarnation::try_from(field_text(fields, RUN_FIELD)?)
            .map_err(|_| PeerRefusal::Malformed)?;
        let nonce = u128::from_str_radix(field_text(fields, NONCE_FIELD)?, 16)
            .map_err(|_| PeerRefusal::Malformed)?;
        // A host from before message sets knows the first one.
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
    /// It opened the connection.
    Dialler,
    /// It accepted the connection.
    Acceptor,
}

/// A `HelloPair` is both hellos of one handshake.
#[derive(Clone, Debug, Serialize)]
pub struct HelloPair {
    /// The dialler's.
    pub dialler: Hello,
    /// The acceptor's.
    pub acceptor: Hello,
}

impl HelloPair {
    fn mac(&self, key: &LinkKey, role: LinkRole) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&key.0).expect("HMAC takes a key of any length");
        mac.update(b"bergamotswitch link");
        // Names are written with their length, so that no two pairs of hellos
        // give the same bytes.
        let text = bincode::serde::encode_to_vec((role, self), bincode::config::standard())
            .expect("hellos have nothing that bincode refuses");
        mac.update(&text);
        mac
    }

    /// Add the proof of the side `role` to header fields.
    pub fn write_proof(&self, key: &LinkKey, role: LinkRole, fields: &mut HeaderMap) {
        let proof = self.mac(key, role).finalize().into_bytes();
        let digits: String = proof.iter().map(|byte| format!("{byte:02x}")).collect();
        insert_text(fields, PROOF_FIELD, &digits);
    }

    /// Check the proof of the side `role` in header fields, in constant time.
    ///
    /// # Errors
    ///
    /// Returns [`PeerRefusal::BadProof`] where it proves nothing.
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
    // Names, numbers and digits are visible ASCII; anything else would be a
    // fault of this module, and an absent field is refused by the peer.
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
