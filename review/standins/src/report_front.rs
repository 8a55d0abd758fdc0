//! A server's own port: answers `GET /report` as the pages say, and passes all else on to the
//! stand-in of the server behind it, which does not know that call.

use std::{
    io::{self, Read as _, Write as _},
    net,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
};

use jayhollow_testkit::Engine;

const REPORT: &[u8] = b"GET /report";

/// A front; it lives as long as the process.
pub struct ReportFront {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Calls of `GET /report` so far.
    pub reports: Arc<AtomicUsize>,
}

impl ReportFront {
    /// Starts a front of an engine.
    pub fn start(engine: &Engine) -> Self {
        let listener = net::TcpListener::bind((engine.address.ip(), 0)).expect("a port is free");
        let front = Self {
            address: listener.local_addr().expect("the address is known"),
            reports: Arc::default(),
        };
        let (engine, reports) = (engine.clone(), front.reports.clone());
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let (engine, reports) = (engine.clone(), reports.clone());
                thread::spawn(move || drop(serve(&engine, &reports, caller)));
            }
        });
        front
    }
}

fn serve(engine: &Engine, reports: &AtomicUsize, mut caller: net::TcpStream) -> io::Result<()> {
    let mut server = net::TcpStream::connect(engine.address)?;
    server.set_nodelay(true)?;
    caller.set_nodelay(true)?;
    let (answers, answered) = (server.try_clone()?, caller.try_clone()?);
    thread::spawn(move || relay_answers(answers, answered));
    let mut buffer = vec![0; 65_536];
    loop {
        let mut count = caller.read(&mut buffer)?;
        // The start of a head may come in pieces.
        while count > 0 && count < REPORT.len() && REPORT.starts_with(&buffer[..count]) {
            match caller.read(&mut buffer[count..])? {
                0 => break,
                more => count += more,
            }
        }
        if count == 0 {
            return server.shutdown(net::Shutdown::Write);
        }
        if buffer[..count].starts_with(REPORT) {
            while !buffer[..count].ends_with(b"\r\n\r\n") && count < buffer.len() {
                match caller.read(&mut buffer[count..])? {
                    0 => return Ok(()),
                    more => count += more,
                }
            }
            reports.fetch_add(1, Ordering::Relaxed);
            caller.write_all(report(engine).as_bytes())?;
        } else {
            server.write_all(&buffer[..count])?;
        }
    }
}

fn report(engine: &Engine) -> String {
    let body = serde_json::json!({
        "Stage": "dual", "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Busy": false,
        "Sequence": 1, "Waiting": 0, "Running": 0, "KvUsed": 0, "KvTotal": 90_000, "Handles": 0,
        "born": engine.born(),
    })
    .to_string();
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Passes on what the server sends; a connection that it breaks is reset for the caller too.
fn relay_answers(mut server: net::TcpStream, mut caller: net::TcpStream) {
    let mut buffer = vec![0; 65_536];
    loop {
        match server.read(&mut buffer) {
            Ok(0) => {
                drop(caller.shutdown(net::Shutdown::Both));
                return;
            }
            Ok(count) if caller.write_all(&buffer[..count]).is_ok() => {}
            outcome => {
                if outcome.is_err() {
                    reset(&caller);
                }
                drop(server.shutdown(net::Shutdown::Both));
                return;
            }
        }
    }
}

/// Resets a connection at once, although another thread still holds it.
fn reset(socket: &net::TcpStream) {
    use std::os::fd::AsRawFd as _;

    // SAFETY: an address of no family dissolves the connection; pointer and size are those of
    // a value on this stack.
    unsafe {
        let nowhere: libc::sockaddr = std::mem::zeroed();
        libc::connect(
            socket.as_raw_fd(),
            std::ptr::from_ref(&nowhere),
            size_of::<libc::sockaddr>() as libc::socklen_t,
        );
    }
    drop(socket.shutdown(net::Shutdown::Both));
}
