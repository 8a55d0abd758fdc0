//! An answer that is cut is never taken for a whole one, however it is framed.

use std::{
    io::{Read as _, Write as _},
    net, thread, time,
};

use actix_http::Method;
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
