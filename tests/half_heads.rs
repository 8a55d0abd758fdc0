//! An answer that ends inside its head, or anywhere before its end, is never taken for one,
//! whichever client reads it.

use std::{
    io::{Read as _, Write as _},
    net, thread, time,
};

use actix_http::Method;
use futures::StreamExt as _;
use jayhollow::{endpoint_client, outcome, serving::connection};
use rstest::rstest;

const BY_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 12\r\nX-Last: 1\r\n\r\nid: 1\ndata\n\n";
const IN_CHUNKS: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nid: 1\ndata\n\n\r\n0\r\n\r\n";
const LENGTH_LAST: &str =
    "HTTP/1.1 200 OK\r\nX-First: 1\r\nContent-Length: 12\r\n\r\nid: 1\ndata\n\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Type: text/plain\r\n\r\n";
const OLD: &str = "HTTP/1.0 200 OK\r\nRequest-Id: r\r\n\r\n";

/// Answers each connection with one byte more of a text than the one before, down to none, and
/// closes it in order.
fn serve_parts(text: &'static str) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    thread::spawn(move || {
        for bytes in 0..text.len() {
            let (mut socket, _) = listener.accept().expect("it is called");
            let _ = socket.read(&mut [0; 4096]);
            let _ = socket.write_all(&text.as_bytes()[..bytes]);
        }
    });
    address
}

async fn is_whole(address: net::SocketAddr) -> bool {
    let timeout = time::Duration::from_secs(5);
    let opened = connection::EndpointConnection::open(address, timeout).await;
    let mut head = actix_http::RequestHead::default();
    head.uri = actix_http::Uri::from_static("/x");
    let request = connection::OutgoingRequest {
        head,
        body: bytes::Bytes::new(),
    };
    let Ok(mut incoming) = opened.expect("it listens").exchange(request).await else {
        return false;
    };
    loop {
        match incoming.next_bytes().await {
            Ok(Some(_)) => {}
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
}

/// Guards against clients that get 200 and no body for half a head.
#[rstest]
#[case::by_length(BY_LENGTH)]
#[case::in_chunks(IN_CHUNKS)]
#[case::length_last(LENGTH_LAST)]
#[case::unframed(UNFRAMED)]
#[case::of_an_old_server(OLD)]
fn no_part_of_an_answer_is_one_for_the_serving_client(#[case] text: &'static str) {
    let address = serve_parts(text);
    actix_rt::System::new().block_on(async {
        for bytes in 0..text.len() {
            assert!(!is_whole(address).await, "{bytes}: {:?}", &text[..bytes]);
        }
    });
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
        timeout: time::Duration::from_secs(5),
    }
}

/// The same for the client of the product's own interface, which is another library.
#[rstest]
#[case::by_length(BY_LENGTH)]
#[case::in_chunks(IN_CHUNKS)]
#[case::length_last(LENGTH_LAST)]
#[case::unframed(UNFRAMED)]
#[case::of_an_old_server(OLD)]
fn no_part_of_an_answer_is_one_for_the_own_client(#[case] text: &'static str) {
    let address = serve_parts(text);
    actix_rt::System::new().block_on(async {
        let client = endpoint_client::new_client();
        for bytes in 0..text.len() {
            let outcome = endpoint_client::call_whole(&client, &call(address)).await;
            let is_whole = matches!(outcome, outcome::AttemptOutcome::Completed(_));
            assert!(!is_whole, "{bytes}: {:?}", &text[..bytes]);
        }
    });
}

/// The same for its streams: no part of a head opens one, and no part of a body ends it.
#[rstest]
#[case::by_length(BY_LENGTH)]
#[case::in_chunks(IN_CHUNKS)]
#[case::length_last(LENGTH_LAST)]
#[case::unframed(UNFRAMED)]
#[case::of_an_old_server(OLD)]
fn no_part_of_a_stream_is_one_for_the_own_client(#[case] text: &'static str) {
    let address = serve_parts(text);
    let head_bytes = text.find("\r\n\r\n").expect("a head") + 4;
    actix_rt::System::new().block_on(async {
        let client = endpoint_client::new_client();
        for bytes in 0..text.len() {
            let outcome = endpoint_client::open_stream(&client, &call(address)).await;
            let part = &text[..bytes];
            let outcome::AttemptOutcome::Completed(opened) = outcome else {
                continue;
            };
            assert!(bytes >= head_bytes, "{bytes}: {part:?} opens a stream");
            if let endpoint_client::OpenedStream::Events(mut events) = opened {
                let mut is_broken = false;
                while let Some(event) = events.next().await.filter(|_| !is_broken) {
                    is_broken = event.is_err();
                }
                assert!(is_broken, "{bytes}: {part:?} ends in order");
            }
        }
    });
}
