//! An answer goes to the task that it belongs to, and a connection is kept only for an upstream
//! that names the task in its answers.

use std::{
    collections,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net, sync,
    sync::atomic,
    thread, time,
};

use link::{task, trace};

/// Headers of a request by name, in lower case.
type Headers = collections::BTreeMap<String, String>;
/// Returns the responses to a request, each with the delay before it in milliseconds.
type Respond = fn(&Headers) -> Vec<(u64, String)>;

/// An upstream that writes prepared responses.
struct Upstream {
    address: net::SocketAddr,
    connections: sync::Arc<atomic::AtomicUsize>,
}

impl Upstream {
    fn start(respond: Respond) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = sync::Arc::<atomic::AtomicUsize>::default();
        let count = sync::Arc::clone(&connections);
        thread::spawn(move || {
            for stream in listener.incoming() {
                count.fetch_add(1, atomic::Ordering::Relaxed);
                thread::spawn(move || serve(stream.unwrap(), respond));
            }
        });
        Self { address, connections }
    }

    fn connections(&self) -> usize {
        self.connections.load(atomic::Ordering::Relaxed)
    }
}

fn serve(mut stream: net::TcpStream, respond: Respond) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let mut headers = Headers::new();
        loop {
            line.clear();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Some((name, value)) = line.split_once(':') else { break };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let mut body = vec![0; headers["content-length"].parse().unwrap()];
        reader.read_exact(&mut body).unwrap();
        for (delay, response) in respond(&headers) {
            thread::sleep(time::Duration::from_millis(delay));
            // The client may have closed the connection.
            drop(stream.write_all(response.as_bytes()));
        }
    }
}

fn response(extra: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// The headers by which an answer names its task and attempt.
fn named(headers: &Headers) -> String {
    let (id, attempt) = (&headers["task-id"], &headers["task-attempt"]);
    format!("Task-Id: {id}\r\nTask-Attempt: {attempt}\r\n")
}

fn start(client: &task::Client, upstream: &Upstream, id: &str) -> task::End {
    client.start(&task::Task {
        address: upstream.address.to_string(),
        id: id.to_owned(),
        body: b"{}".as_slice().into(),
        content_type: "application/json".to_owned(),
        timeout: time::Duration::from_secs(5),
        lease: None,
        context: trace::Context::new(),
    })
}

/// Starts 20 tasks one after the other and returns how many got their own answer. No task may get
/// another answer than its own.
fn run_tasks(upstream: &Upstream) -> usize {
    let client = task::Client::new();
    let mut own = 0;
    for number in 0..20 {
        let id = format!("job/{number}");
        match start(&client, upstream, &id) {
            task::End::Answer(body, _) => {
                assert_eq!(body.as_ref(), id.as_bytes(), "the answer to another task");
                own += 1;
            }
            task::End::Failed(_) => {}
            other => panic!("{other:?}"),
        }
    }
    own
}

#[test]
fn surplus_unnamed() {
    let respond: [Respond; 3] = [
        |headers| vec![(0, response("", &headers["task-id"])), (0, response("", "surplus"))],
        |headers| vec![(0, response("", &headers["task-id"])), (1, response("", "surplus"))],
        |headers| vec![(0, response("", &headers["task-id"])), (30, response("", "surplus"))],
    ];
    for respond in respond {
        let upstream = Upstream::start(respond);
        // A response that is in the buffer with the surplus one makes the client close at once.
        assert!(run_tasks(&upstream) > 0);
        assert_eq!(upstream.connections(), 20, "no connection is used twice");
    }
}

#[test]
fn surplus_named() {
    let respond: [Respond; 2] = [
        |headers| {
            let first = response(&named(headers), &headers["task-id"]);
            vec![(0, first), (1, response(&named(headers), "surplus"))]
        },
        |headers| {
            let first = response(&named(headers), &headers["task-id"]);
            vec![(0, first), (1, response("", "surplus"))]
        },
    ];
    for respond in respond {
        assert!(run_tasks(&Upstream::start(respond)) > 0);
    }
}

#[test]
fn wrong_task() {
    let respond: [Respond; 2] = [
        |_| vec![(0, response("Task-Id: job/other\r\nTask-Attempt: 1\r\n", "other"))],
        |headers| {
            let id = &headers["task-id"];
            vec![(0, response(&format!("Task-Id: {id}\r\nTask-Attempt: 0\r\n"), "other"))]
        },
    ];
    for respond in respond {
        let upstream = Upstream::start(respond);
        assert_eq!(run_tasks(&upstream), 0);
        assert_eq!(upstream.connections(), 20, "no connection is used twice");
    }
}

#[test]
fn kept() {
    let upstream =
        Upstream::start(|headers| vec![(0, response(&named(headers), &headers["task-id"]))]);
    assert_eq!(run_tasks(&upstream), 20);
    assert_eq!(upstream.connections(), 1);
}
