//! The secret that all processes share, and the proof that a peer knows it.

use std::{io, sync};

use hmac::Mac as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use crate::protection;

/// Bytes of a nonce.
const NONCE_BYTES: usize = 16;
/// Bytes of a proof.
const PROOF_BYTES: usize = 32;

/// The secret that all processes share; never logged.
#[derive(Clone)]
pub struct LinkSecret(sync::Arc<Vec<u8>>);

impl LinkSecret {
    /// A secret of these bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(sync::Arc::new(bytes))
    }

    /// Reads the secret from a file; white space around it does not count.
    ///
    /// # Errors
    /// The file cannot be read or is empty.
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
        // HMAC takes keys of any length.
        let mut mac = mac.expect("any length is valid");
        mac.update(nonce);
        mac
    }
}

/// Sends a nonce and checks the proof that comes back.
pub(super) async fn check_peer(
    socket: &mut tokio::net::TcpStream,
    secret: &LinkSecret,
) -> io::Result<bool> {
    let nonce: [u8; NONCE_BYTES] = rand::random();
    socket.write_all(&nonce).await?;
    let mut proof = [0; PROOF_BYTES];
    socket.read_exact(&mut proof).await?;
    let right = secret.mac(&nonce).verify_slice(&proof).is_ok();
    Ok(right || protection::is_disabled("link_secret"))
}

/// Answers a nonce with the proof.
pub(super) async fn prove(
    socket: &mut tokio::net::TcpStream,
    secret: &LinkSecret,
) -> io::Result<()> {
    let mut nonce = [0; NONCE_BYTES];
    socket.read_exact(&mut nonce).await?;
    let proof = secret.mac(&nonce).finalize().into_bytes();
    socket.write_all(&proof).await
}
