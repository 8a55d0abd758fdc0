//! A small deployment of the real program beside stand-ins, on loopback addresses.

use std::{
    fs, io, net, path, process,
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
        Arc, Condvar, Mutex,
    },
    thread, time,
};

use jayhollow_testkit::Store;
use serde_json::{json, Value};

use super::http;

/// Host of all routes.
pub const HOST: &str = "users.example";
/// Largest value of an object in the store, as in the sheet.
pub const VALUE_BYTES: usize = 1_048_576;
/// Places of a server, as in the sheet.
const SLOTS: usize = 8;
/// Requests that a server queues.
const QUEUE: usize = 24;

pub const ZONES: [&str; 3] = ["hall-lozenets", "hall-druzhba", "hall-nadezhda"];

static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(0);

fn own_address() -> net::Ipv4Addr {
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process::id().to_be_bytes();
    net::Ipv4Addr::new(127, high.max(1), low, (number % 250) as u8 + 1)
}

pub fn unix_millis() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    begun: time::Instant,
    /// `None` for standard output, without the time.
    file: Option<Arc<Mutex<fs::File>>>,
}

impl Record {
    pub fn create(folder: &path::Path) -> io::Result<Self> {
        Ok(Self {
            begun: time::Instant::now(),
            file: Some(Arc::new(Mutex::new(fs::File::create(
                folder.join("record.txt"),
            )?))),
        })
    }

    /// The record of a server that is a process of its own.
    pub fn to_parent() -> Self {
        Self {
            begun: time::Instant::now(),
            file: None,
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        use io::Write as _;

        let Some(file) = &self.file else {
            return println!("{}", text.as_ref());
        };
        let at = self.begun.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}\n", text.as_ref());
        let mut file = file.lock().expect("no holder panicked");
        drop(file.write_all(line.as_bytes()));
    }

    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A door of the store that refuses objects above the limit, and all calls while it is shut.
#[derive(Clone)]
pub struct StoreDoor {
    pub address: net::SocketAddr,
    is_shut: Arc<AtomicBool>,
    pub too_large: Arc<AtomicUsize>,
}

impl StoreDoor {
    pub fn open(store: &Store) -> Self {
        let (_, inner) = store.open_door();
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let door = Self {
            address: listener.local_addr().expect("it is bound"),
            is_shut: Arc::default(),
            too_large: Arc::default(),
        };
        let this = door.clone();
        http::serve(listener, move |request, wire| {
            this.pass(inner, request, wire)
        });
        door
    }

    /// Shuts or opens the door: a shut one answers 503, so that nothing is done.
    pub fn set_shut(&self, is_shut: bool) {
        self.is_shut.store(is_shut, Ordering::SeqCst);
    }

    fn pass(&self, inner: net::SocketAddr, request: &http::Request, wire: &mut http::Wire) -> bool {
        let refuse = |wire: &mut http::Wire, status: &str| {
            let text = format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\n{{}}");
            wire.write(text.as_bytes()).is_ok()
        };
        if self.is_shut.load(Ordering::SeqCst) {
            return refuse(wire, "503 Service Unavailable");
        }
        if request.body.len() > VALUE_BYTES {
            self.too_large.fetch_add(1, Ordering::SeqCst);
            return refuse(wire, "413 Payload Too Large");
        }
        let Ok(socket) = net::TcpStream::connect(inner) else {
            return false;
        };
        drop(socket.set_read_timeout(Some(time::Duration::from_millis(100))));
        let mut to_store = http::Wire::new(socket);
        let text = http::request_text(
            &request.method,
            HOST,
            &request.path,
            &[],
            request.body.len(),
        );
        let sent = to_store.write(text.as_bytes());
        if sent.is_err() || to_store.write(&request.body).is_err() {
            return false;
        }
        // A watch waits here; it is cut off when the door is shut.
        let mut first = [0; 1];
        loop {
            match to_store.socket.peek(&mut first) {
                Ok(0) => return false,
                Ok(_) => break,
                Err(_) if self.is_shut.load(Ordering::SeqCst) => return false,
                Err(_) => {}
            }
        }
        drop(
            to_store
                .socket
                .set_read_timeout(Some(time::Duration::from_secs(10))),
        );
        let Ok(answer) = to_store.read_answer() else {
            return false;
        };
        let head = format!(
            "HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n",
            answer.status,
            answer.body.len()
        );
        wire.write(head.as_bytes()).is_ok() && wire.write(&answer.body).is_ok()
    }
}

/// A run of a request at a server.
#[derive(Debug, Clone)]
pub struct Run {
    pub at_ms: u64,
}

#[derive(Default)]
struct Places {
    running: usize,
    waiting: usize,
}

/// A sound server of a service: streams for paths under `/items/`, whole answers for others.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: net::SocketAddr,
    pub zone: &'static str,
    born: u64,
    events: u64,
    pause: time::Duration,
    text: fn(&str, u64) -> String,
    is_unframed: bool,
    places: Arc<(Mutex<Places>, Condvar)>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

/// How a server works.
#[derive(Clone, Copy)]
pub struct Work {
    pub events: u64,
    pub pause: time::Duration,
    pub text: fn(&str, u64) -> String,
    /// Whether its streams have neither a length nor chunks, and end with their connection.
    pub is_unframed: bool,
}

impl Server {
    pub fn start(record: &Record, id: &str, service: &str, zone: &'static str, work: Work) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("it is bound"),
            zone,
            born: unix_millis(),
            events: work.events,
            pause: work.pause,
            text: work.text,
            is_unframed: work.is_unframed,
            places: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
        };
        let this = server.clone();
        http::serve(listener, move |request, wire| this.answer(request, wire));
        server
    }

    /// Its entry in the list of servers.
    pub fn entry(&self, sequence: u64) -> Value {
        json!({
            "Service": self.service, "Address": self.address.to_string(), "Zone": self.zone,
            "Version": "v1", "Slots": SLOTS, "State": "ready", "ColdRemainingMs": 0,
            "Sequence": sequence, "born": self.born,
        })
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no holder panicked").clone()
    }

    pub fn running(&self) -> usize {
        self.places.0.lock().expect("no holder panicked").running
    }

    fn answer(&self, request: &http::Request, wire: &mut http::Wire) -> bool {
        let id = request
            .head
            .get("request-id")
            .unwrap_or_default()
            .to_owned();
        if request.method == "GET" && request.path == "/healthz" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return wire.write(text.as_bytes()).is_ok();
        }
        let expected = request.head.get("expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return wire.write(text.as_bytes()).is_ok();
        }
        if !self.take_place() {
            let text =
                "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return wire.write(text.as_bytes()).is_ok();
        }
        let run = Run {
            at_ms: unix_millis(),
        };
        self.record.line(format!(
            "run server={} service={} id={id} path={}",
            self.id, self.service, request.path
        ));
        self.runs.lock().expect("no holder panicked").push(run);
        let goes_on = match request.path.contains("/items/") {
            true => self.stream(request, wire, &id),
            false => {
                thread::sleep(self.pause);
                let body = format!("answer to {id}");
                let text = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s-{id}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                wire.write(text.as_bytes()).is_ok()
            }
        };
        let mut places = self.places.0.lock().expect("no holder panicked");
        places.running -= 1;
        drop(places);
        self.places.1.notify_one();
        goes_on
    }

    /// Waits for a place; says whether there was room to wait.
    fn take_place(&self) -> bool {
        let mut places = self.places.0.lock().expect("no holder panicked");
        if places.running >= SLOTS && places.waiting >= QUEUE {
            return false;
        }
        places.waiting += 1;
        while places.running >= SLOTS {
            places = self.places.1.wait(places).expect("no holder panicked");
        }
        places.waiting -= 1;
        places.running += 1;
        true
    }

    fn stream(&self, request: &http::Request, wire: &mut http::Wire, id: &str) -> bool {
        let after = request
            .head
            .get("last-event-id")
            .and_then(|n| n.parse().ok());
        let first = after.map_or(1, |after: u64| after + 1);
        let framing = match self.is_unframed {
            true => "",
            false => "Transfer-Encoding: chunked\r\n",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s-{id}\r\nContent-Type: text/event-stream\r\n{framing}\r\n"
        );
        if wire.write(head.as_bytes()).is_err() {
            return false;
        }
        for event in first..=self.events {
            thread::sleep(self.pause);
            let text = format!("id: {event}\ndata: {}\n\n", (self.text)(id, event));
            let chunk = match self.is_unframed {
                true => text,
                false => format!("{:x}\r\n{text}\r\n", text.len()),
            };
            if wire.write(chunk.as_bytes()).is_err() {
                self.record
                    .line(format!("left server={} id={id} event={event}", self.id));
                return false;
            }
        }
        self.record.line(format!("done server={} id={id}", self.id));
        !self.is_unframed && wire.write(b"0\r\n\r\n").is_ok()
    }
}

/// A server that is a process of its own, so that it can be killed.
pub struct ServerProcess {
    pub id: String,
    pub entry: Value,
    child: process::Child,
}

impl ServerProcess {
    /// Starts this program once more, as a server (`serve_as_process`).
    pub fn start(record: &Record, id: &str, service: &str, zone: &str) -> io::Result<Self> {
        use io::BufRead as _;
        use std::os::unix::process::CommandExt as _;

        let mut command = process::Command::new(std::env::current_exe()?);
        // SAFETY: the call is one that may be made between fork and exec.
        unsafe {
            command.pre_exec(
                || match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
                    0 => Ok(()),
                    _ => Err(io::Error::last_os_error()),
                },
            );
        }
        let mut child = command
            .args(["server", id, service, zone])
            .stdout(process::Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = io::BufReader::new(output).lines();
        let first = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
        let entry = serde_json::from_str(&first).map_err(io::Error::other)?;
        let record = record.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(line);
            }
        });
        Ok(Self {
            id: id.to_owned(),
            entry,
            child,
        })
    }

    /// Kills it, as in a crash: the system closes its connections.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A process of the project.
pub struct Process {
    pub name: String,
    pub ip: net::Ipv4Addr,
    pub door: StoreDoor,
    role: &'static str,
    config: path::PathBuf,
    child: process::Child,
}

impl Process {
    pub fn front(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.ip.into(), 8144)
    }

    fn readiness(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.ip.into(), 8140)
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that was not waited for.
        unsafe { libc::kill(self.child.id() as i32, signal) };
    }

    /// Kills it.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Starts it again.
    pub fn restart(&mut self) {
        let text = fs::read_to_string(&self.config).expect("the settings are there");
        let mut settings: Value = serde_json::from_str(&text).expect("they are JSON");
        settings["Bootstrap"] = false.into();
        fs::write(&self.config, settings.to_string()).expect("the settings are written");
        self.child = spawn(self.role, &self.config);
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.config.with_extension("log")).unwrap_or_default()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The command of the deploy file.
const PROGRAM: &str = "target/release/jayhollow-platform";

fn spawn(role: &str, config: &path::Path) -> process::Child {
    use std::os::unix::process::CommandExt as _;

    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(config.with_extension("log"))
        .expect("the log is opened");
    let mut command = process::Command::new(PROGRAM);
    // SAFETY: the call is one that may be made between fork and exec.
    unsafe {
        command.pre_exec(
            || match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            },
        );
    }
    command
        .arg(role)
        .env("JAYHOLLOW_CONFIG", config)
        .stdout(log.try_clone().expect("the log is shared"))
        .stderr(log)
        .spawn()
        .expect("the program starts")
}

/// The whole deployment.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub servers: Vec<Server>,
    pub gateways: Vec<Process>,
    pub dispatchers: Vec<Process>,
    folder: path::PathBuf,
}

impl Deployment {
    /// Starts processes in each of the three zones, beside servers that are listed.
    pub fn start(
        record: &Record,
        servers: Vec<Server>,
        state: Value,
        gateways: usize,
        dispatchers: usize,
    ) -> Self {
        let folder = std::env::temp_dir().join(format!("jayhollow-review-2-{}", process::id()));
        fs::create_dir_all(&folder).expect("the folder is made");
        let mut deployment = Self {
            record: record.clone(),
            store: Store::start(),
            servers,
            gateways: Vec::new(),
            dispatchers: Vec::new(),
            folder,
        };
        for server in &deployment.servers {
            deployment.store.put("servers", &server.id, server.entry(1));
        }
        deployment.store.put("config", "main", state);
        for number in 0..dispatchers {
            let process = deployment.process("dispatcher", number);
            deployment.dispatchers.push(process);
        }
        for number in 0..gateways {
            let process = deployment.process("gateway", number);
            deployment.gateways.push(process);
        }
        deployment
    }

    /// The settings are those of the small site, with addresses of the loopback range.
    fn process(&self, role: &'static str, number: usize) -> Process {
        let ip = own_address();
        let zone = ZONES[number % ZONES.len()];
        let name = format!("{role}-{zone}-{}", number / ZONES.len() + 1);
        let door = StoreDoor::open(&self.store);
        let is_gateway = role == "gateway";
        let data = self.folder.join(format!("{name}-data"));
        fs::create_dir_all(&data).expect("the folder is made");
        let listen = match is_gateway {
            true => json!({"Front": format!("{ip}:8144"), "Readiness": format!("{ip}:8140")}),
            false => json!({}),
        };
        let limits = match is_gateway {
            true => {
                json!({"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4200, "LinkMbps": 1000.0, "DiskMb": 0})
            }
            false => {
                json!({"CpuShare": 0.5, "Cores": 1, "MemoryMb": 300, "MaxFds": 8200, "LinkMbps": 600.0, "DiskMb": 490})
            }
        };
        let settings = json!({
            "NodeName": name, "Role": role,
            "MachineClass": if is_gateway { "edge" } else { "storage" },
            "Serves": [if is_gateway { "edge" } else { "storage" }],
            "Ip": ip.to_string(), "Zone": zone, "Region": "sofia",
            "Zones": {"hall-lozenets": "sofia", "hall-druzhba": "sofia", "hall-nadezhda": "sofia"},
            "Listen": listen, "InternalPorts": [7660, 7675], "Seeds": [], "Bootstrap": true,
            "FaultCounted": !is_gateway, "Limits": limits,
            "DataDir": if is_gateway { Value::Null } else { json!(data) },
            "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "recover", "batch", "stream", "engine", "platform"],
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": {
                "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4.8,
                "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigMs": 2000,
                "RollbackSlackMs": 250, "SkewMaxMs": 5000, "RecoveryS": 12, "PassMs": 120,
                "RetryAfterS": 0, "FinishS": 18, "StatusS": 120, "CancelMs": 3000,
                "SettleMs": 1000, "QuotaOverage": 0.1,
            },
            "Platform": {
                "Address": door.address.to_string(), "form": "objects", "WritesPerS": 400,
                "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": VALUE_BYTES, "TtlMinMs": 1000,
            },
        });
        let config = self.folder.join(format!("{name}.json"));
        fs::write(&config, settings.to_string()).expect("the settings are written");
        let child = spawn(role, &config);
        Process {
            name,
            ip,
            door,
            role,
            config,
            child,
        }
    }

    /// Waits until all gateways are ready and all processes know all owners; says whether they
    /// do within 20 seconds.
    pub fn is_ready(&self) -> bool {
        let begun = time::Instant::now();
        let mut names: Vec<_> = self.dispatchers.iter().map(|d| d.name.as_str()).collect();
        names.sort_unstable();
        let owners = format!("event=owners now=\"{}\"", names.join(","));
        let all = || {
            let mut gateways = self.gateways.iter();
            let patience = time::Duration::from_secs(1);
            let ready = gateways.all(|g| {
                let answer = http::call(g.readiness(), "GET", "/readyz", &[], b"", patience);
                answer.is_ok_and(|a| a.status == 200)
            });
            let mut processes = self.gateways.iter().chain(&self.dispatchers);
            ready && (names.is_empty() || processes.all(|p| p.log().contains(&owners)))
        };
        while !all() {
            if begun.elapsed() > time::Duration::from_secs(20) {
                return false;
            }
            thread::sleep(time::Duration::from_millis(50));
        }
        true
    }

    /// Writes a version of the desired state, as the operator does.
    pub fn put_state(&self, state: Value) {
        self.record
            .line(format!("operator config/main version={}", state["Version"]));
        self.store.put("config", "main", state);
    }

    /// Shuts or opens the store for all processes.
    pub fn set_store_shut(&self, is_shut: bool) {
        self.record.say(format!("store down={is_shut}"));
        for process in self.gateways.iter().chain(&self.dispatchers) {
            process.door.set_shut(is_shut);
        }
    }

    /// Hands in a job, again after each failure as clients do; says whether it was accepted.
    pub fn submit(&self, gateway: usize, job: &str, body: &str) -> bool {
        let fronts: Vec<_> = self.gateways.iter().map(Process::front).collect();
        submit_at(&self.record, &fronts, gateway, job, body)
    }

    /// Restarts all machines by SIGTERM, one each second, and each starts again a second after
    /// its signal, or when it has ended (`roll_term`, share 1, x 1, gap_s 1).
    pub fn roll(&mut self) {
        let gap = time::Duration::from_secs(1);
        // As seen on the bench: from the signal to the first line of the next run.
        let down = time::Duration::from_millis(1040);
        let begun = time::Instant::now();
        let machines = self.dispatchers.len() + self.gateways.len();
        let mut stopped: Vec<Option<time::Instant>> = Vec::new();
        let mut left = machines;
        while left > 0 {
            for number in 0..machines {
                let list = match number % 2 {
                    0 => &mut self.dispatchers,
                    _ => &mut self.gateways,
                };
                let process = &mut list[number / 2];
                if number == stopped.len() && begun.elapsed() >= gap * number as u32 {
                    self.record.line(format!("SIGTERM to {}", process.name));
                    process.signal(libc::SIGTERM);
                    stopped.push(Some(time::Instant::now()));
                }
                let since = stopped.get(number).copied().flatten();
                if since.is_some_and(|at| at.elapsed() >= down) && !process.is_running() {
                    process.restart();
                    self.record.line(format!("{} starts again", process.name));
                    stopped[number] = None;
                    left -= 1;
                }
            }
            thread::sleep(time::Duration::from_millis(2));
        }
    }

    /// Reads a page of results from a position on.
    pub fn read(&self, gateway: usize, job: &str, after: usize) -> (u16, Value) {
        read_at(
            self.gateways[gateway % self.gateways.len()].front(),
            job,
            after,
            0,
        )
    }
}

/// Hands in a job, again after each failure as clients do; says whether it was accepted.
pub fn submit_at(
    record: &Record,
    fronts: &[net::SocketAddr],
    gateway: usize,
    job: &str,
    body: &str,
) -> bool {
    for attempt in 0..10 {
        let front = fronts[(gateway + attempt) % fronts.len()];
        let headers = [
            ("Request-Id", job),
            ("Content-Type", "application/json"),
            ("Deadline-Ms", "4000"),
        ];
        let patience = time::Duration::from_secs(6);
        let body = body.as_bytes();
        let answer = http::call(front, "POST", "/lots-in/x", &headers, body, patience);
        let status = answer.as_ref().map_or(0, |a| a.status);
        record.line(format!(
            "hand-in job={job} attempt={attempt} status={status}"
        ));
        if status == 202 {
            return true;
        }
        thread::sleep(time::Duration::from_millis(300));
    }
    false
}

/// Reads a page of results from a position on, and waits for the first one if that is asked.
pub fn read_at(front: net::SocketAddr, job: &str, after: usize, wait_ms: u64) -> (u16, Value) {
    let path = format!("/lots/{job}?After={after}");
    let patience = time::Duration::from_secs(3);
    let wait_ms = wait_ms.to_string();
    let headers = [("Wait-Ms", wait_ms.as_str())];
    let headers = if wait_ms == "0" {
        &[][..]
    } else {
        &headers[..]
    };
    let answer = http::call(front, "GET", &path, headers, b"", patience);
    answer.map_or((0, Value::Null), |a| (a.status, a.json()))
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
        self.dispatchers.clear();
        match std::env::var("KEEP_LOGS") {
            Ok(_) => println!("logs in {}", self.folder.display()),
            Err(_) => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// A route of the small site's sheet, in its fields.
pub fn route(name: &str, prefix: &str, kind: &str, timeout_ms: u64) -> Value {
    json!({
        "Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 400, "Priority": 2, "MaxAttempts": 3, "SessionAffinity": false,
        "Resumable": kind == "batch", "GapTargetMs": 300, "CompletionTargetMs": 18000,
        "RetentionS": 60,
    })
}

pub fn limits() -> Value {
    json!({"MaxHeaderBytes": 16384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000})
}

/// The body of a job with so many items.
pub fn job_body(job: &str, items: usize, body_bytes: usize) -> String {
    use base64::Engine as _;

    let body = base64::engine::general_purpose::STANDARD.encode(vec![b'x'; body_bytes]);
    let items: Vec<_> = (0..items)
        .map(|n| {
            let id = item_id(job, n);
            json!({
                "Id": id, "Path": format!("/lots-in/items/{id}"),
                "Headers": {"Model": "m", "Token-Usage": "350,400", "Prompt-Prefix": "9c2e41:100,5d07b8:250"},
                "Body": body, "Tokens": 750,
            })
        })
        .collect();
    json!({"Items": items}).to_string()
}

pub fn item_id(job: &str, number: usize) -> String {
    format!("{job}i{number:04}")
}
