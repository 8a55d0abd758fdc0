//! Crowds of clients that misbehave at the own interface: the processes live, stay within the
//! memory that a daemon may take and the descriptors that follow from their settings, and serve
//! an ordinary request beside the crowd and after it.
//!
//! The tests run one at a time. They check no times and no share of served requests.

mod support;

#[allow(dead_code)] // Shared with the tests of the platform, which use more of it.
#[path = "../platform/testkit/src/crowd.rs"]
mod crowd;

use std::{
    io::{Read as _, Write as _},
    net,
    sync::{Arc, Mutex, MutexGuard},
    thread, time,
};

use crowd::{Crowd, CrowdEnd, CrowdPlan, CrowdReading, ProcessWatch};
use rstest::rstest;
use rustls::pki_types;
use support::{FleetSize, ProcessFleet, TestClient};

/// Memory that a daemon may take, in bytes.
const MEMORY_BYTES: u64 = 128_000_000;
/// Limit on connections in the settings of the gateway.
const CONNECTIONS: usize = 200;
/// Descriptors that may be open: two for each connection, as a request needs one for its
/// endpoint, and those of the process itself.
const MAX_DESCRIPTORS: usize = 2 * CONNECTIONS + 100;
/// Connections of a crowd that is small.
const FEW: usize = 16;
/// Connections of a crowd that takes most of the limit.
const MANY: usize = 150;
/// Connections of a crowd that is larger than the limit.
const TOO_MANY: usize = 600;

/// Keeps the tests of this file from running side by side.
static TURN: Mutex<()> = Mutex::new(());

fn wait_for_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(|e| e.into_inner())
}

fn start(tls: bool) -> ProcessFleet {
    let mut fleet = ProcessFleet::start(&FleetSize {
        gateways: 1,
        dispatchers: 1,
        engines: 2,
        step_us: 4_000,
    });
    let folder = fleet.folder.clone();
    if tls {
        let names = vec!["localhost".to_owned()];
        let pair = rcgen::generate_simple_self_signed(names).expect("the key pair is generated");
        std::fs::write(folder.join("cert.pem"), pair.cert.pem()).expect("it is written");
        std::fs::write(folder.join("key.pem"), pair.key_pair.serialize_pem())
            .expect("it is written");
        std::fs::write(folder.join("cert.der"), pair.cert.der()).expect("it is written");
    }
    let gateway = fleet.start_gateway_with(7, |config| {
        config["callers"]["limits"] = serde_json::json!({"connections": CONNECTIONS});
        if tls {
            config["callers"]["tls"] = serde_json::json!({
                "certificate_file": folder.join("cert.pem"),
                "key_file": folder.join("key.pem"),
            });
        }
    });
    fleet.gateways.push(gateway);
    if !tls {
        expect_service(front(&fleet));
    }
    fleet
}

/// The address at which the gateway under test serves callers.
fn front(fleet: &ProcessFleet) -> net::SocketAddr {
    fleet.gateways[1].address("callers")
}

fn watch_of(process: &support::FleetProcess, name: &str) -> ProcessWatch {
    match process.address(name) {
        net::SocketAddr::V4(address) => ProcessWatch::new(process.id(), address),
        net::SocketAddr::V6(_) => unreachable!("it listens on IPv4"),
    }
}

/// Sends an ordinary request until it is served.
fn expect_service(address: net::SocketAddr) {
    support::wait_for("an ordinary request is served", || {
        let caller = TestClient::new(address, support::KEY);
        let request = serde_json::json!({"model": "m", "max_tokens": 1, "prompt": "ordinary"});
        caller
            .post("/v1/completions", support::body(&request))
            .ok()
            .map(|_| ())
    });
}

fn check(watch: &mut ProcessWatch) {
    watch.look();
    println!(
        "{} of {} MB, {} of {MAX_DESCRIPTORS} descriptors",
        watch.peak_memory / 1_000_000,
        MEMORY_BYTES / 1_000_000,
        watch.peak_descriptors
    );
    assert!(watch.is_alive(), "it has ended");
    let most = watch.peak_memory;
    assert!(most <= MEMORY_BYTES, "it needed {most} bytes");
    let descriptors = watch.peak_descriptors;
    assert!(
        descriptors <= MAX_DESCRIPTORS,
        "it had {descriptors} descriptors"
    );
}

type Message = fn(usize, usize) -> Vec<u8>;

fn plan(connections: usize, bytes_each: usize, message: Message) -> CrowdPlan {
    CrowdPlan {
        connections,
        bytes_each,
        message: Box::new(message),
        reading: CrowdReading::Never,
        end: CrowdEnd::Stays,
    }
}

fn request(method: &str, path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {}\r\n\
         {headers}Content-Length: {}\r\n\r\n",
        support::KEY,
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// A request that is in service for long, or waits for a slot.
fn slow(_: usize) -> Vec<u8> {
    let body = support::chat("slow", 4_000, false);
    request("POST", "/v1/chat/completions", "", &body)
}

fn unknown_path(_: usize, _: usize) -> Vec<u8> {
    b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n".to_vec()
}

fn models(_: usize, _: usize) -> Vec<u8> {
    request("GET", "/v1/models", "", b"")
}

fn metrics(_: usize, _: usize) -> Vec<u8> {
    b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n".to_vec()
}

fn heads_behind(connection: usize, number: usize) -> Vec<u8> {
    let filler = format!("X-Filler: {}\r\n", "f".repeat(20_000));
    match number {
        0 => slow(connection),
        _ => request("GET", "/v1/models", &filler, b""),
    }
}

fn many_fields_behind(connection: usize, number: usize) -> Vec<u8> {
    let fields: String = (0..80).map(|n| format!("h{n}:v\r\n")).collect();
    match number {
        0 => slow(connection),
        _ => request("GET", "/v1/models", &fields, b""),
    }
}

fn bodies_behind(connection: usize, number: usize) -> Vec<u8> {
    match number {
        0 => slow(connection),
        _ => request("POST", "/services/print/x", "", &vec![b'b'; 900_000]),
    }
}

fn unfinished_body(_: usize, number: usize) -> Vec<u8> {
    match number {
        0 => format!(
            "POST /services/print/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {}\r\n\
             Content-Length: 4000000\r\n\r\n",
            support::KEY
        )
        .into_bytes(),
        _ => vec![b'b'; 16 << 10],
    }
}

fn chunks_of_a_byte(_: usize, number: usize) -> Vec<u8> {
    match number {
        0 => format!(
            "POST /services/print/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {}\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            support::KEY
        )
        .into_bytes(),
        _ => b"1\r\nx\r\n".to_vec(),
    }
}

fn endless_head(_: usize, number: usize) -> Vec<u8> {
    match number {
        0 => b"GET /v1/models HTTP/1.1\r\nHost: h\r\n".to_vec(),
        _ => format!("F: {}\r\n", "v".repeat(200)).into_bytes(),
    }
}

fn large_echo(_: usize, _: usize) -> Vec<u8> {
    request("POST", "/services/print/x", "", &vec![b'b'; 3_000_000])
}

fn streams(_: usize, _: usize) -> Vec<u8> {
    let body = support::chat(&"content ".repeat(50), 500, true);
    request("POST", "/v1/chat/completions", "", &body)
}

/// An upload of a file with many small items.
fn uploads(connection: usize, number: usize) -> Vec<u8> {
    match number {
        0 => format!(
            "POST /v1/files HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {}\r\n\
             Content-Type: multipart/form-data; boundary=bound\r\n\
             Content-Length: 100000000\r\n\r\n\
             --bound\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
             --bound\r\nContent-Disposition: form-data; name=\"file\"; filename=\"f\"\r\n\r\n",
            support::KEY
        )
        .into_bytes(),
        _ => {
            let item = serde_json::json!({
                "custom_id": format!("c-{connection}-{number}"), "method": "POST",
                "url": "/v1/chat/completions",
                "body": {"model": "m", "max_tokens": 1, "messages": [
                    {"role": "user", "content": "c".repeat(400)},
                ]},
            });
            format!("{item}\n").into_bytes()
        }
    }
}

fn nothing(_: usize, _: usize) -> Vec<u8> {
    Vec::new()
}

/// Guards against a gateway that ends, hangs, or needs more than a daemon may take, because of
/// clients that send much or read little.
#[rstest]
#[case::unknown_paths(plan(FEW, 8_000_000, unknown_path))]
#[case::models(plan(FEW, 8_000_000, models))]
#[case::metrics(plan(FEW, 400_000, metrics))]
#[case::heads_behind_a_response(plan(MANY, 2_000_000, heads_behind))]
#[case::many_fields_behind_a_response(plan(MANY, 1_000_000, many_fields_behind))]
#[case::bodies_behind_a_response(plan(MANY, 2_000_000, bodies_behind))]
#[case::bodies_that_stop(plan(MANY, 3_900_000, unfinished_body))]
#[case::chunks_of_a_byte(plan(MANY, 500_000, chunks_of_a_byte))]
#[case::heads_without_end(plan(MANY, 1_000_000, endless_head))]
#[case::large_echoes_unread(plan(60, 9_000_000, large_echo))]
#[case::streams_unread(plan(MANY, 10_000, streams))]
#[case::uploads(plan(MANY, 1_500_000, uploads))]
#[case::idle_connections(plan(TOO_MANY, 0, nothing))]
fn a_crowd_at_the_own_interface_costs_no_more_than_a_daemon_may_take(#[case] plan: CrowdPlan) {
    let _turn = wait_for_turn();
    let fleet = start(false);
    let mut watch = watch_of(&fleet.gateways[1], "callers");
    let mut crowd = Crowd::gather(front(&fleet), plan);
    crowd.press(|| watch.look());
    println!("sent {} bytes, {} open", crowd.sent(), crowd.open());
    expect_service(front(&fleet));
    check(&mut watch);
    drop(crowd);
    expect_service(front(&fleet));
    check(&mut watch);
}

/// Guards against the same at the status page of a dispatcher.
#[test]
fn a_crowd_at_the_status_page_costs_no_more_than_a_daemon_may_take() {
    let _turn = wait_for_turn();
    let fleet = start(false);
    let page = fleet.dispatchers[0].address("metrics");
    let mut watch = watch_of(&fleet.dispatchers[0], "metrics");
    let mut crowd = Crowd::gather(page, plan(FEW, 400_000, metrics));
    crowd.press(|| watch.look());
    check(&mut watch);
    drop(crowd);
    expect_service(front(&fleet));
    check(&mut watch);
}

/// Guards against a stop that waits for clients that do not read.
#[test]
fn a_stop_of_the_own_interface_does_not_wait_for_clients_that_do_not_read() {
    let _turn = wait_for_turn();
    let mut fleet = start(false);
    let mut watch = watch_of(&fleet.gateways[1], "callers");
    let mut crowd = Crowd::gather(front(&fleet), plan(FEW, 2_000_000, unknown_path));
    crowd.press(|| watch.look());
    check(&mut watch);
    fleet.gateways[1].signal(libc::SIGTERM);
    assert!(fleet.gateways[1].wait_end(), "it ends well");
    assert!(crowd.sent() > 0);
}

fn tls_client(
    address: net::SocketAddr,
    folder: &std::path::Path,
) -> rustls::StreamOwned<rustls::ClientConnection, net::TcpStream> {
    let certificate = std::fs::read(folder.join("cert.der")).expect("it is read");
    let mut roots = rustls::RootCertStore::empty();
    roots
        .add(pki_types::CertificateDer::from(certificate))
        .expect("the certificate is read");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("there are versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = pki_types::ServerName::try_from("localhost").expect("the name is valid");
    let client = rustls::ClientConnection::new(Arc::new(config), name).expect("it is created");
    let socket = net::TcpStream::connect(address).expect("the gateway accepts");
    let timeout = Some(time::Duration::from_secs(2));
    socket.set_write_timeout(timeout).expect("it is set");
    socket.set_read_timeout(timeout).expect("it is set");
    rustls::StreamOwned::new(client, socket)
}

/// Sends an ordinary request over TLS until it is served.
fn expect_tls_service(address: net::SocketAddr, folder: &std::path::Path) {
    support::wait_for("an ordinary request is served over TLS", || {
        let mut client = tls_client(address, folder);
        client
            .write_all(b"GET /healthz HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n")
            .ok()?;
        let mut response = Vec::new();
        let _ = client.read_to_end(&mut response);
        response.starts_with(b"HTTP/1.1 200").then_some(())
    });
}

/// Guards against clients over TLS that send requests ahead and read no response.
#[test]
fn a_crowd_over_tls_costs_no_more_than_a_daemon_may_take() {
    let _turn = wait_for_turn();
    let fleet = start(true);
    let (address, folder) = (front(&fleet), fleet.folder.clone());
    let mut watch = watch_of(&fleet.gateways[1], "callers");
    let requests = unknown_path(0, 0).repeat(400);
    let pressing = (0..FEW).map(|_| {
        let (folder, requests) = (folder.clone(), requests.clone());
        thread::spawn(move || {
            let mut client = tls_client(address, &folder);
            for _ in 0..600 {
                if client.write_all(&requests).is_err() {
                    break;
                }
            }
            client
        })
    });
    let pressing: Vec<_> = pressing.collect();
    while pressing.iter().any(|thread| !thread.is_finished()) {
        watch.look();
        thread::sleep(time::Duration::from_millis(50));
    }
    let clients: Vec<_> = pressing.into_iter().filter_map(|t| t.join().ok()).collect();
    expect_tls_service(address, &folder);
    check(&mut watch);
    drop(clients);
    expect_tls_service(address, &folder);
    check(&mut watch);
}

/// Guards against handshakes that are begun and never go on.
#[rstest]
#[case::silent(plan(TOO_MANY, 0, nothing))]
#[case::begun(plan(TOO_MANY, 6, |_, _| vec![22, 3, 1, 64, 0, 1]))]
#[case::no_tls(plan(TOO_MANY, 100_000, unknown_path))]
fn handshakes_that_do_not_go_on_cost_no_more_than_a_daemon_may_take(#[case] plan: CrowdPlan) {
    let _turn = wait_for_turn();
    let fleet = start(true);
    let mut watch = watch_of(&fleet.gateways[1], "callers");
    let mut crowd = Crowd::gather(front(&fleet), plan);
    crowd.press(|| watch.look());
    expect_tls_service(front(&fleet), &fleet.folder);
    check(&mut watch);
    drop(crowd);
    expect_tls_service(front(&fleet), &fleet.folder);
    check(&mut watch);
}
