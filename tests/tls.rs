//! TLS towards callers: served by settings, the key reloaded without a restart.

mod support;

use std::{
    fs, io,
    io::{Read as _, Write as _},
    net, path,
    sync::Arc,
};

use rustls::pki_types;

/// Writes a new self-signed certificate and its key; gives the certificate.
fn write_key(folder: &path::Path) -> pki_types::CertificateDer<'static> {
    let names = vec!["localhost".to_owned()];
    let made = rcgen::generate_simple_self_signed(names).expect("a key is made");
    fs::write(folder.join("cert.pem"), made.cert.pem()).expect("it is written");
    fs::write(folder.join("key.pem"), made.key_pair.serialize_pem()).expect("it is written");
    made.cert.der().clone()
}

/// Asks for `/healthz`, trusting one certificate only.
fn ask(
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
    let client = rustls::ClientConnection::new(Arc::new(config), name).expect("it begins");
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
    let first = write_key(&fleet.folder);
    let folder = fleet.folder.clone();
    let gateway = fleet.start_gateway_with(7, |config| {
        config["callers"]["tls"] = serde_json::json!({
            "certificate_file": folder.join("cert.pem"), "key_file": folder.join("key.pem"),
        });
    });
    let address = gateway.address("callers");
    assert!(ask(address, &first)
        .expect("it is trusted")
        .starts_with("HTTP/1.1 200"));
    let second = write_key(&fleet.folder);
    support::wait_for("the new key is served", || {
        let response = ask(address, &second).ok()?;
        response.starts_with("HTTP/1.1 200").then_some(())
    });
    assert!(
        ask(address, &first).is_err(),
        "the old certificate is no longer served"
    );
}
