//! Authentication of links: an HMAC over a random nonce proves that a peer knows the shared secret.

use std::{io, sync};

use hmac::Mac as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use crate::protection;

/// Length of a nonce in bytes.
const NONCE_BYTES: usize = 16;
/// Length of a proof in bytes, which is an HMAC-SHA-256 tag.
const PROOF_BYTES: usize = 32;

/// Secret that all processes share. It has no `Debug`, so that it cannot be logged.
#[derive(Clone)]
pub struct LinkSecret(sync::Arc<Vec<u8>>);

impl LinkSecret {
    /// Creates a secret from its bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(sync::Arc::new(bytes))
    }

    /// Reads the secret from a file, without leading and trailing whitespace.
    ///
    /// # Errors
    /// The file cannot be read, or holds nothing but whitespace.
    pub fn read(file: &std::path::Path) -> io::Result<Self> {
        let text = std::fs::read(file)?;
        let text = text.trim_ascii();
        if text.is_empty() {
            return Err(io::Error::other(format!("{} is empty", file.display())));
        }
        Ok(Self::new(text.to_vec()))
    }

    fn mac(&self, nonce: &[u8]) -> hmac::Hmac<sha2::Sha256> {
        let mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(&self.0);
        // HMAC accepts keys of any length, so this cannot fail.
        let mut mac = mac.expect("any length is valid");
        mac.update(nonce);
        mac
    }
}

/// Sends a nonce to a client and verifies the proof that it returns.
///
/// # Errors
/// The socket cannot be read or written.
pub(super) async fn verify_peer(
    socket: &mut tokio::net::TcpStream,
    secret: &LinkSecret,
) -> io::Result<bool> {
    let nonce: [u8; NONCE_BYTES] = rand::random();
    socket.write_all(&nonce).await?;
    let mut proof = [0; PROOF_BYTES];
    socket.read_exact(&mut proof).await?;
    let is_valid = secret.mac(&nonce).verify_slice(&proof).is_ok();
    Ok(is_valid || protection::is_disabled("link_secret"))
}

/// Reads the server's nonce and sends the proof for it.
///
/// # Errors
/// The socket cannot be read or written.
pub(super) async fn prove(
    socket: &mut tokio::net::TcpStream,
    secret: &LinkSecret,
) -> io::Result<()> {
    let mut nonce = [0; NONCE_BYTES];
    socket.read_exact(&mut nonce).await?;
    let proof = secret.mac(&nonce).finalize().into_bytes();
    socket.write_all(&proof).await
}
