//! TLS for callers, with a certificate and key that are reloaded when the key file changes.

use std::{fs, io, path, sync, time};

use rustls::{pki_types, server, sign};

use crate::settings;

/// Minimum interval between two checks of the key file for changes.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(2);

struct KeyReloader {
    files: settings::gateway::TlsSettings,
    state: sync::Mutex<ReloadState>,
}

struct ReloadState {
    key: sync::Arc<sign::CertifiedKey>,
    checked_at: time::Instant,
    changed_at: Option<time::SystemTime>,
}

impl std::fmt::Debug for KeyReloader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyReloader")
    }
}

impl server::ResolvesServerCert for KeyReloader {
    fn resolve(&self, _: server::ClientHello<'_>) -> Option<sync::Arc<sign::CertifiedKey>> {
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        if state.checked_at.elapsed() >= CHECK_INTERVAL {
            state.checked_at = time::Instant::now();
            self.reload(&mut state);
        }
        Some(state.key.clone())
    }
}

impl KeyReloader {
    fn reload(&self, state: &mut ReloadState) {
        let changed_at = modified(&self.files.key_file);
        if changed_at == state.changed_at {
            return;
        }
        match read_key(&self.files) {
            Ok(key) => {
                state.key = sync::Arc::new(key);
                state.changed_at = changed_at;
                log::info!("event=tls_key_reloaded");
            }
            // The files may be incomplete during a replacement: the previous key stays active.
            Err(e) => log::warn!("event=tls_key_unread why=\"{e}\""),
        }
    }
}

fn modified(file: &path::Path) -> Option<time::SystemTime> {
    fs::metadata(file).and_then(|m| m.modified()).ok()
}

fn read_key(files: &settings::gateway::TlsSettings) -> io::Result<sign::CertifiedKey> {
    let mut certificates = io::BufReader::new(fs::File::open(&files.certificate_file)?);
    let chain: Vec<pki_types::CertificateDer<'static>> =
        rustls_pemfile::certs(&mut certificates).collect::<Result<_, _>>()?;
    let mut keys = io::BufReader::new(fs::File::open(&files.key_file)?);
    let key = rustls_pemfile::private_key(&mut keys)?
        .ok_or_else(|| io::Error::other("the key file holds no private key"))?;
    let key = rustls::crypto::ring::sign::any_supported_type(&key).map_err(io::Error::other)?;
    Ok(sign::CertifiedKey::new(chain, key))
}

/// Creates the TLS configuration of the callers' listener.
///
/// # Errors
/// Returns an error if a file cannot be read or contains no key, or the key is not supported.
pub fn server_config(
    files: &settings::gateway::TlsSettings,
) -> io::Result<sync::Arc<rustls::ServerConfig>> {
    let key = read_key(files)?;
    let reloader = KeyReloader {
        state: sync::Mutex::new(ReloadState {
            key: sync::Arc::new(key),
            checked_at: time::Instant::now(),
            changed_at: modified(&files.key_file),
        }),
        files: files.clone(),
    };
    let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(io::Error::other)?
        .with_no_client_auth()
        .with_cert_resolver(sync::Arc::new(reloader));
    Ok(sync::Arc::new(config))
}
