//! Connections that the endpoint closes before a request is sent, or after.

use std::{net, time};

use actix_http::{Method, RequestHead};
use jayhollow::serving::connection::{EndpointConnection, ExchangeError, OutgoingRequest};

/// Longer than a close takes to arrive on the loopback interface.
const CLOSE_TIME: time::Duration = time::Duration::from_millis(50);

fn request() -> OutgoingRequest {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    OutgoingRequest {
        head,
        body: "q".into(),
    }
}

/// Guards against a request that may run only once and is lost although nothing of it was
/// sent: its connection had been closed just before.
#[test]
fn a_request_is_unsent_only_if_its_connection_was_closed_before() {
    actix_rt::System::new().block_on(async {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the address is known");
        let open = || EndpointConnection::open(address, time::Duration::from_secs(1));

        let connection = open().await.expect("the listener accepts");
        drop(listener.accept().expect("a connection comes"));
        actix_rt::time::sleep(CLOSE_TIME).await;
        let exchanged = connection.exchange(request()).await;
        assert!(matches!(exchanged, Err(ExchangeError::Unsent(_))));

        let connection = open().await.expect("the listener accepts");
        let (socket, _) = listener.accept().expect("a connection comes");
        actix_rt::spawn(async move {
            actix_rt::time::sleep(CLOSE_TIME).await;
            drop(socket);
        });
        let exchanged = connection.exchange(request()).await;
        assert!(matches!(exchanged, Err(ExchangeError::Broken(_))));
    });
}
