//! The own interface beside endpoints that end their answers inside the head, in order.
//!
//! Guards against callers and items that get a short or empty answer marked as whole.

mod support;

use std::{
    io::{Read as _, Write as _},
    net,
    sync::{atomic, Arc},
    thread, time,
};

use actix_http::Method;
use jayhollow::smoke;

const TOKENS: u32 = 5;

/// A proxy in front of an endpoint that passes on the first part of the next answers only.
#[derive(Clone)]
struct CuttingProxy {
    address: net::SocketAddr,
    endpoint: net::SocketAddr,
    /// Number of answers still to be cut; each is cut later than the one before.
    cuts_left: Arc<atomic::AtomicUsize>,
}

/// Bytes of the head after which successive answers end: inside the status line, behind it, and
/// inside the headers.
const CUTS: [usize; 6] = [1, 9, 15, 17, 30, 60];

impl CuttingProxy {
    fn start(endpoint: net::SocketAddr) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let proxy = Self {
            address: listener.local_addr().expect("it has an address"),
            endpoint,
            cuts_left: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(caller));
            }
        });
        proxy
    }

    fn cut_next(&self) {
        self.cuts_left.store(CUTS.len(), atomic::Ordering::Relaxed);
    }

    /// Passes the connection on. It ends with the first answer that is cut.
    fn serve(&self, mut caller: net::TcpStream) {
        let Ok(mut endpoint) = net::TcpStream::connect(self.endpoint) else {
            return;
        };
        let both = (caller.try_clone(), endpoint.try_clone());
        let (Ok(mut requests), Ok(mut sink)) = both else {
            return;
        };
        thread::spawn(move || {
            let copied = std::io::copy(&mut requests, &mut sink);
            drop((copied, sink.shutdown(net::Shutdown::Write)));
        });
        let mut piece = [0; 4096];
        while let Ok(bytes @ 1..) = endpoint.read(&mut piece) {
            let left = self.cuts_left.fetch_update(
                atomic::Ordering::Relaxed,
                atomic::Ordering::Relaxed,
                |left| left.checked_sub(1),
            );
            let is_head = piece.starts_with(b"HTTP/1.1 200");
            let passed = match left.ok().filter(|_| is_head) {
                Some(left) => CUTS[CUTS.len() - left].min(bytes),
                None => bytes,
            };
            if caller.write_all(&piece[..passed]).is_err() || passed < bytes {
                break;
            }
        }
        drop((
            caller.shutdown(net::Shutdown::Both),
            endpoint.shutdown(net::Shutdown::Both),
        ));
    }
}

/// Puts a proxy in front of each endpoint of a fleet.
fn cut_heads(fleet: &support::ProcessFleet) -> Vec<CuttingProxy> {
    let mut endpoints = fleet.endpoints.clone();
    let mut proxies = Vec::new();
    for endpoint in &mut endpoints {
        let address = endpoint["address"].as_str().expect("an address");
        let proxy = CuttingProxy::start(address.parse().expect("an address"));
        endpoint["address"] = proxy.address.to_string().into();
        proxies.push(proxy);
    }
    let objects = support::TestClient::new(fleet.objects.address("listen"), "");
    let list = support::body(&serde_json::json!(endpoints));
    let set = objects.send(Method::POST, "/endpoints", &[], list);
    assert_eq!(set.expect("the list is set").status, 200);
    // The fleet of the test reads the list of endpoints every 50 ms.
    thread::sleep(time::Duration::from_millis(500));
    proxies
}

fn start() -> (support::ProcessFleet, Vec<CuttingProxy>) {
    let size = support::FleetSize {
        gateways: 1,
        dispatchers: 1,
        engines: 2,
        ..support::FleetSize::default()
    };
    let fleet = support::ProcessFleet::start(&size);
    let proxies = cut_heads(&fleet);
    (fleet, proxies)
}

fn assert_cut(proxies: &[CuttingProxy]) {
    let was_cut = |proxy: &CuttingProxy| proxy.cuts_left.load(atomic::Ordering::Relaxed) == 0;
    assert!(proxies.iter().any(was_cut), "no endpoint cut its answers");
}

#[test]
fn no_caller_gets_half_a_head_as_an_answer() {
    let (fleet, proxies) = start();
    let (engines, plain) = proxies.split_at(2);
    let mut whole = 0;
    for number in 0..16 {
        if number < 8 {
            engines.iter().for_each(CuttingProxy::cut_next);
        }
        let content = format!("letter {number}");
        let expected = smoke::expected_response(&content, TOKENS);
        let call = support::chat(&content, TOKENS, false);
        if let Ok(answer) = fleet.caller(0).post("/v1/chat/completions", call) {
            let text = answer["choices"][0]["message"]["content"].as_str();
            assert_eq!(text, Some(expected.as_str()));
            whole += 1;
        }
        if let Ok((text, true)) = fleet.caller(0).stream(&content, TOKENS) {
            assert_eq!(text, expected);
            whole += 1;
        }
    }
    assert!(whole > 0, "some are whole once the heads are");
    assert_cut(engines);
    let call = || {
        let caller = fleet.caller(0);
        let answer = caller.send(Method::POST, "/services/print/x", &[], b"label".to_vec());
        answer.expect("it is answered")
    };
    plain[0].cut_next();
    for _ in CUTS {
        let answer = call();
        assert!(answer.status >= 500, "{}", answer.status);
    }
    assert_cut(plain);
    assert_eq!(call().status, 200);
}

#[test]
fn items_after_half_heads_have_their_whole_texts() {
    const ITEMS: usize = 24;

    let (fleet, proxies) = start();
    let engines = &proxies[..2];
    engines.iter().for_each(CuttingProxy::cut_next);
    let caller = fleet.caller(0);
    let file = caller.upload(&support::letters(ITEMS, TOKENS));
    let job = caller.submit(&file, "/v1/chat/completions", "job-1");
    let job = job.expect("the job is accepted").json();
    let job = caller.wait_job(job["id"].as_str().expect("it has a name"));
    let results = caller.results(&job["output_file_id"]);
    assert_cut(engines);
    support::check_letters(&results, ITEMS, TOKENS);
}
