//! TLS for callers: enabled by settings; a replaced key is reloaded without a restart.

mod support;

use std::{
    fs, io,
    io::{Read as _, Write as _},
    net, path,
    sync::Arc,
};

use rustls::pki_types;

/// Writes a new self-signed certificate and its key, and returns the certificate.
fn write_certificate(folder: &path::Path) -> pki_types::CertificateDer<'static> {
    let names = vec!["localhost".to_owned()];
    let generated = rcgen::generate_simple_self_signed(names).expect("the key pair is generated");
    fs::write(folder.join("cert.pem"), generated.cert.pem()).expect("the file is written");
    fs::write(folder.join("key.pem"), generated.key_pair.serialize_pem())
        .expect("the file is written");
    generated.cert.der().clone()
}

/// Requests `/healthz` with a client that trusts only the given certificate.
fn get_healthz(
    address: net::SocketAddr,
    trusted: &pki_types::CertificateDer<'static>,
) -> io::Result<String> {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(trusted.clone()).expect("the certificate is read");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("there are versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = pki_types::ServerName::try_from("localhost").expect("the name is valid");
    let client =
        rustls::ClientConnection::new(Arc::new(config), name).expect("the TLS client is created");
    let socket = net::TcpStream::connect(address)?;
    socket.set_read_timeout(Some(support::TIMEOUT))?;
    let mut stream = rustls::StreamOwned::new(client, socket);
    stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n")?;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    Ok(String::from_utf8_lossy(&response).into_owned())
}

#[test]
fn callers_are_served_over_tls_and_the_key_is_reloaded() {
    let fleet = support::ProcessFleet::start(&support::FleetSize {
        gateways: 1,
        dispatchers: 1,
        engines: 1,
        ..support::FleetSize::default()
    });
    let first = write_certificate(&fleet.folder);
    let folder = fleet.folder.clone();
    let gateway = fleet.start_gateway_with(7, |config| {
        config["callers"]["tls"] = serde_json::json!({
            "certificate_file": folder.join("cert.pem"), "key_file": folder.join("key.pem"),
        });
    });
    let address = gateway.address("callers");
    assert!(get_healthz(address, &first)
        .expect("the certificate is trusted")
        .starts_with("HTTP/1.1 200"));
    let second = write_certificate(&fleet.folder);
    support::wait_for("the new key is served", || {
        let response = get_healthz(address, &second).ok()?;
        response.starts_with("HTTP/1.1 200").then_some(())
    });
    assert!(
        get_healthz(address, &first).is_err(),
        "the old certificate is no longer served"
    );
}
