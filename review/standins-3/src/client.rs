//! Clients: jobs, and what was answered.

use std::{
    io::Write as _,
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::{http, json::quote, record::Record, system::HOST};

#[derive(Clone, Debug, Default)]
pub struct Step {
    pub count: u32,
    pub cpu: u64,
    pub ms: u64,
    pub after: Vec<usize>,
}

#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub steps: Vec<Step>,
    pub deadline: Duration,
}

/// One try of a client, or one DELETE.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub ended: Instant,
    /// 0 if there was no whole answer.
    pub status: u16,
}

#[derive(Clone, Debug)]
pub struct Clients {
    record: Record,
}

impl Job {
    pub fn body(&self) -> String {
        let spec: Vec<_> = self.steps.iter().map(|s| format!("{}:{}", s.cpu, s.ms)).collect();
        let steps: Vec<_> = self
            .steps
            .iter()
            .map(|step| {
                let mut text = format!(
                    "{{\"Count\":{},\"Cpu\":{},\"MemMb\":64,\"EstimateMs\":{}",
                    step.count, step.cpu, step.ms
                );
                if !step.after.is_empty() {
                    text += &format!(",\"DependsOn\":{:?}", step.after);
                }
                text + "}"
            })
            .collect();
        format!(
            "{{\"Spec\":{},\"BestEffort\":true,\"Steps\":[{}]}}",
            quote(&spec.join(";")),
            steps.join(",")
        )
    }
}

impl Clients {
    pub fn new(record: Record) -> Self {
        Self { record }
    }

    /// Submits a job at an entry once and waits for the answer up to its deadline.
    pub fn submit(&self, job: &Job, entry: SocketAddr) -> Attempt {
        self.submit_within(job, entry, job.deadline)
    }

    /// The same for a client that leaves after `patience`.
    pub fn submit_within(&self, job: &Job, entry: SocketAddr, patience: Duration) -> Attempt {
        let deadline = job.deadline.as_millis().to_string();
        let headers = [("Host", HOST.to_owned()), ("Apricotroute-Deadline-Ms", deadline)];
        self.send("POST", &job.id, entry, &headers, &job.body(), patience)
    }

    /// Submits a job on a connection that is never read, and returns the connection.
    pub fn send_unread(&self, job: &Job, entry: SocketAddr) -> Option<TcpStream> {
        let (id, body) = (&job.id, job.body());
        self.record.write("send", &format!("POST {id} to {entry}, its answer is lost: {body}"));
        let (deadline, length) = (job.deadline.as_millis(), body.len());
        let head = format!(
            "POST /board/{id} HTTP/1.1\r\nHost: {HOST}\r\nApricotroute-Deadline-Ms: {deadline}\r\n\
             Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
        );
        let mut stream = TcpStream::connect(entry).ok()?;
        stream.write_all((head + &body).as_bytes()).ok()?;
        Some(stream)
    }

    pub fn cancel(&self, id: &str, entry: SocketAddr) -> Attempt {
        let headers = [("Host", HOST.to_owned())];
        self.send("DELETE", id, entry, &headers, "", Duration::from_secs(3))
    }

    fn send(
        &self,
        method: &'static str,
        id: &str,
        entry: SocketAddr,
        headers: &[(&str, String)],
        body: &str,
        timeout: Duration,
    ) -> Attempt {
        let sent = Instant::now();
        self.record.write_at(sent, "send", &format!("{method} {id} to {entry} {body}"));
        let answer = http::call(entry, method, &format!("/board/{id}"), headers, body, timeout);
        let ended = Instant::now();
        let (status, body) = match answer {
            Ok(answer) => (answer.status, answer.body),
            Err(error) => (0, error.to_string()),
        };
        self.record.write_at(
            ended,
            "answer",
            &format!("{method} {id} from {entry}: {status} {body}"),
        );
        Attempt { ended, status }
    }
}
