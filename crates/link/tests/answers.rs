//! An answer goes to the task that it belongs to, and a connection is kept only for an upstream
//! that names the task in its answers.

mod raw;

use std::time;

use link::{task, trace};
use raw::{Delayed, Request, Server, response};

/// Returns the responses to a request.
type Respond = fn(&Request) -> Vec<Delayed>;

/// The headers by which an answer names its task and attempt.
fn named(request: &Request) -> String {
    let (id, attempt) = (&request.headers["task-id"], &request.headers["task-attempt"]);
    format!("Task-Id: {id}\r\nTask-Attempt: {attempt}\r\n")
}

fn start(client: &task::Client, upstream: &Server, id: &str) -> task::End {
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
fn run_tasks(upstream: &Server) -> usize {
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
        |request| {
            vec![(0, response("", &request.headers["task-id"])), (0, response("", "surplus"))]
        },
        |request| {
            vec![(0, response("", &request.headers["task-id"])), (1, response("", "surplus"))]
        },
        |request| {
            vec![(0, response("", &request.headers["task-id"])), (30, response("", "surplus"))]
        },
    ];
    for respond in respond {
        let upstream = Server::start(respond);
        // A response that is in the buffer with the surplus one makes the client close at once.
        assert!(run_tasks(&upstream) > 0);
        assert_eq!(upstream.connections(), 20, "no connection is used twice");
    }
}

#[test]
fn surplus_named() {
    let respond: [Respond; 2] = [
        |request| {
            let first = response(&named(request), &request.headers["task-id"]);
            vec![(0, first), (1, response(&named(request), "surplus"))]
        },
        |request| {
            let first = response(&named(request), &request.headers["task-id"]);
            vec![(0, first), (1, response("", "surplus"))]
        },
    ];
    for respond in respond {
        assert!(run_tasks(&Server::start(respond)) > 0);
    }
}

#[test]
fn wrong_task() {
    let respond: [Respond; 2] = [
        |_| vec![(0, response("Task-Id: job/other\r\nTask-Attempt: 1\r\n", "other"))],
        |request| {
            let id = &request.headers["task-id"];
            vec![(0, response(&format!("Task-Id: {id}\r\nTask-Attempt: 0\r\n"), "other"))]
        },
    ];
    for respond in respond {
        let upstream = Server::start(respond);
        assert_eq!(run_tasks(&upstream), 0);
        assert_eq!(upstream.connections(), 20, "no connection is used twice");
    }
}

#[test]
fn kept() {
    let upstream =
        Server::start(|request| vec![(0, response(&named(request), &request.headers["task-id"]))]);
    assert_eq!(run_tasks(&upstream), 20);
    assert_eq!(upstream.connections(), 1);
}
