//! The end of a part reaches its owner.

use std::{sync::mpsc, time::Duration};

use link::{
    http::{self, Handler},
    vital,
};

const TIMEOUT: Duration = Duration::from_secs(5);
const SILENCE: Duration = Duration::from_millis(200);

fn owner() -> (vital::Owner, mpsc::Receiver<&'static str>) {
    let (ended, names) = mpsc::channel();
    let owner = vital::Owner::new(Box::new(move |name| ended.send(name).unwrap()));
    owner.watch();
    (owner, names)
}

struct NoHandler;

impl Handler for NoHandler {
    fn handle(&self, _request: http::Request, responder: http::Responder) {
        responder.send(http::Response::text(200, ""));
    }

    fn reject(&self, _error: http::RequestError) -> http::Response {
        http::Response::text(400, "")
    }
}

#[test]
fn thread_ends() {
    let (owner, names) = owner();
    owner.spawn("returned", || ()).unwrap();
    assert_eq!(names.recv_timeout(TIMEOUT), Ok("returned"));
    owner.spawn("panicked", || panic!("a part fails")).unwrap();
    assert_eq!(names.recv_timeout(TIMEOUT), Ok("panicked"));
    let (release, wait) = mpsc::channel::<()>();
    owner.spawn("running", move || wait.recv().unwrap_or_default()).unwrap();
    assert!(names.recv_timeout(SILENCE).is_err(), "a part that runs has not ended");
    drop(release);
    assert_eq!(names.recv_timeout(TIMEOUT), Ok("running"));
}

#[test]
fn ended_early() {
    let (ended, names) = mpsc::channel();
    let owner = vital::Owner::new(Box::new(move |name| ended.send(name).unwrap()));
    owner.spawn("returned", || ()).unwrap();
    assert!(names.recv_timeout(SILENCE).is_err(), "the start may still fail with its own error");
    owner.watch();
    assert_eq!(names.recv_timeout(TIMEOUT), Ok("returned"));
}

#[test]
fn task_ends() {
    let (owner, names) = owner();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).build().unwrap();
    drop(runtime.spawn(owner.clone().run("returned", async {})));
    assert_eq!(names.recv_timeout(TIMEOUT), Ok("returned"));
    drop(runtime.spawn(owner.run("panicked", async { panic!("a part fails") })));
    assert_eq!(names.recv_timeout(TIMEOUT), Ok("panicked"));
}

#[test]
fn listener_ends() {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let open = |owner: &vital::Owner| {
        let any = "127.0.0.1:0".parse().unwrap();
        let listener = http::Listener::open(&runtime, any, std::sync::Arc::new(NoHandler));
        listener.unwrap().with_owner(&runtime, owner, "listener")
    };
    let (owner, names) = owner();
    open(&owner).close();
    assert_eq!(names.recv_timeout(TIMEOUT), Ok("listener"));
    let listener = open(&owner);
    owner.release();
    listener.close();
    assert!(names.recv_timeout(SILENCE).is_err(), "a part that was released may end");
}
