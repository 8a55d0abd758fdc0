//! An answer that is cut is never taken for a whole one, however it is framed, and one without
//! an end is given up.

use std::{
    io::{Read as _, Write as _},
    net, thread, time,
};

use actix_http::Method;
use futures::StreamExt as _;
use jayhollow::{endpoint_client, outcome};
use rstest::rstest;

/// Answers one connection with these bytes and closes it.
fn serve_once(response: &'static str) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    thread::spawn(move || {
        if let Ok((mut socket, _)) = listener.accept() {
            let _ = socket.read(&mut [0; 4096]);
            let _ = socket.write_all(response.as_bytes());
            // Time for the answer to be read before the end is seen.
            thread::sleep(time::Duration::from_millis(100));
        }
    });
    address
}

fn call(address: net::SocketAddr) -> endpoint_client::EndpointCall {
    endpoint_client::EndpointCall {
        address,
        method: Method::POST,
        path: "/x".into(),
        content_type: "text/plain".into(),
        body: bytes::Bytes::from_static(b"b"),
        attempt: "a".parse().expect("the name is valid"),
        resume_after: None,
        keep: None,
        timeout: time::Duration::from_secs(10),
    }
}

#[rstest]
#[case::whole_by_length("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody", true)]
#[case::whole_by_chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    true
)]
#[case::cut_by_length("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nbody", false)]
#[case::cut_between_chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
    false
)]
#[case::cut_within_a_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nbody",
    false
)]
fn only_whole_answers_complete(#[case] response: &'static str, #[case] whole: bool) {
    let address = serve_once(response);
    let outcome = actix_rt::System::new().block_on(async {
        let client = endpoint_client::new_client();
        endpoint_client::call_whole(&client, &call(address)).await
    });
    match outcome {
        outcome::AttemptOutcome::Completed(response) => {
            assert!(whole, "a cut answer was taken for a whole one");
            assert_eq!(response.body, "body");
        }
        outcome::AttemptOutcome::Unknown(_) => assert!(!whole),
        other => panic!("neither whole nor unknown: {other:?}"),
    }
}

/// Answers one connection with the head of a stream and then with these bytes until the caller
/// closes; returns its address and the thread, which ends with the connection.
fn serve_endlessly(piece: &'static str) -> (net::SocketAddr, thread::JoinHandle<()>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    let serving = thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("it is called");
        let _ = socket.read(&mut [0; 4096]);
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let mut sent = socket.write_all(head.as_bytes());
        let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
        while sent.is_ok() {
            sent = socket.write_all(chunk.as_bytes());
        }
    });
    (address, serving)
}

/// Guards against a stream that fills the memory of its reader and brings no event.
#[rstest]
#[case::comments(": still here\n\n")]
#[case::one_event("data: more and more\n")]
fn a_stream_without_an_event_is_given_up(#[case] piece: &'static str) {
    let (address, serving) = serve_endlessly(piece);
    let event = actix_rt::System::new().block_on(async {
        let client = endpoint_client::new_client();
        match endpoint_client::open_stream(&client, &call(address)).await {
            outcome::AttemptOutcome::Completed(endpoint_client::OpenedStream::Events(
                mut events,
            )) => {
                let limit = time::Duration::from_secs(20);
                actix_rt::time::timeout(limit, events.next()).await
            }
            _ => panic!("the stream is opened"),
        }
    });
    let event = event.expect("it is given up in time");
    assert!(matches!(event, Some(Err(_))), "{event:?}");
    serving.join().expect("the connection is closed");
}
