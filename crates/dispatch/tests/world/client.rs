//! Clients: the jobs that they submit and the verdicts that they receive.

use dispatch::{
    event::Event,
    job::{Job, Step, Task, Verdict},
    member::Role,
    upstream::Room,
};
use rand::RngExt as _;
use state::name::Name;

use super::{Action, RETRY_DELAY, Request, World, upstream::MS, zone_name};

impl World {
    /// Submits a job of one step from a client in `zone`, with an exact estimate of the length of
    /// its tasks, milliseconds.
    pub fn submit(&mut self, zone: usize, count: u32, cpu: u64, length: u64) -> Name {
        self.submit_as(zone, count, cpu, length, length, 0)
    }

    /// Submits a job of one step from a client in `zone` to the queue of a priority, with an
    /// estimate of the length of its tasks, milliseconds.
    pub fn submit_as(
        &mut self,
        zone: usize,
        count: u32,
        cpu: u64,
        length: u64,
        estimate: u64,
        priority: u32,
    ) -> Name {
        let id = Name::new(&format!("{:016x}", self.rng.random::<u64>()));
        let step = Step {
            count,
            need: Room { cpu, memory: 64, accelerators: 0 },
            estimate,
            ..Step::default()
        };
        let job = Job {
            id: id.clone(),
            service: "board".into(),
            spec: Name::new(&(length * 100_000 + cpu).to_string()),
            steps: vec![step],
            priority,
            attempts: 3,
            objective: length * 8 / 5 + 60,
            patience: 4_000,
            age: 0,
            resumed: false,
            entry_clock: 0,
        };
        let zone = zone_name(zone);
        let request = Request {
            job,
            zone,
            at: None,
            first_sent: self.now,
            last_sent: self.now,
            verdict: None,
        };
        self.requests.insert(id.clone(), request);
        self.push(self.now, Action::Submit { id: id.clone() });
        id
    }

    /// Submits a job of two steps with two tasks each from a client in `zone`; the second step
    /// depends on the first.
    pub fn submit_steps(&mut self, zone: usize, cpu: u64, length: u64) -> Name {
        let id = self.submit(zone, 2, cpu, length);
        if let Some(request) = self.requests.get_mut(&id) {
            let next = Step { after: smallvec::smallvec![0], ..request.job.steps[0].clone() };
            request.job.steps.push(next);
        }
        id
    }

    /// Submits a job again, in `zone`, as a client does that has received no answer.
    pub fn resubmit(&mut self, id: &Name, zone: usize) {
        if let Some(request) = self.requests.get_mut(id) {
            request.zone = zone_name(zone);
            request.at = None;
            request.verdict = None;
        }
        self.push(self.now, Action::Submit { id: id.clone() });
    }

    /// Ends the connection of a job's client for the client only: its entry learns nothing.
    pub fn lose_connection(&mut self, id: &Name) {
        self.tickets.retain(|_, other| other != id);
    }

    /// The ticket of a job's client, once its submission was handled.
    pub fn ticket(&mut self, id: &Name) -> u64 {
        self.run(1);
        let found = self.tickets.iter().find(|(_, other)| *other == id);
        found.map(|(ticket, _)| *ticket).expect("an open ticket")
    }

    /// Lets an entry learn that the client of a ticket has disconnected.
    pub fn end_connection(&mut self, entry: usize, ticket: u64) {
        self.handle(entry, Event::Disconnected(ticket));
    }

    /// Sends a job to a random entry of its client's zone, or of any zone if that zone has none.
    pub(super) fn send_job(&mut self, id: &Name) {
        let Some(request) = self.requests.get(id) else { return };
        if request.verdict.is_some() || request.at.is_some() {
            return;
        }
        let is_up = |i: &usize| self.instances[*i].core.is_some();
        let is_entry = |i: &usize| self.instances[*i].card.role == Role::Entry;
        let entries: Vec<_> = (0..self.instances.len()).filter(is_entry).filter(is_up).collect();
        let home: Vec<_> = entries
            .iter()
            .copied()
            .filter(|i| self.instances[*i].card.zone == request.zone)
            .collect();
        let entries = if home.is_empty() { entries } else { home };
        if entries.is_empty() {
            let id = id.clone();
            return self.push(self.now + RETRY_DELAY, Action::Submit { id });
        }
        let at = entries[self.rng.random_range(0..entries.len())];
        if self.instances[at].frozen {
            // A frozen instance reads nothing: the request stays in its buffers, and the client
            // waits.
            let id = id.clone();
            return self.push(self.now + RETRY_DELAY, Action::Submit { id });
        }
        self.sequence += 1;
        let ticket = self.sequence;
        self.tickets.insert(ticket, id.clone());
        if let Some(request) = self.requests.get_mut(id) {
            request.at = Some(at);
            request.last_sent = self.now;
            let job = Box::new(request.job.clone());
            self.handle(at, Event::Submit(ticket, job));
        }
    }

    /// Disconnects the client of a job, which never submits the job again.
    pub fn disconnect(&mut self, id: &Name) {
        let tickets: Vec<_> =
            self.tickets.iter().filter(|(_, other)| *other == id).map(|(t, _)| *t).collect();
        for ticket in tickets {
            self.tickets.remove(&ticket);
            if let Some(at) = self.requests.get(id).and_then(|request| request.at) {
                self.handle(at, Event::Disconnected(ticket));
            }
        }
        self.requests.remove(id);
    }

    /// Sends a request to cancel a job to an entry, and returns its ticket.
    pub fn cancel(&mut self, entry: usize, id: &Name) -> u64 {
        self.sequence += 1;
        let ticket = self.sequence;
        self.handle(entry, Event::Cancel(ticket, id.clone()));
        ticket
    }

    /// Records the verdict of a request, and a fault if the verdict is not true.
    pub(super) fn record_verdict(&mut self, ticket: u64, verdict: Verdict) {
        let Some(id) = self.tickets.remove(&ticket) else { return };
        // A submission that was lost together with its entry was not refused, so the verdict is
        // checked only against the starts since the current submission.
        let since = self.requests.get(&id).map_or(0, |request| request.last_sent);
        let ran = self.start_times.iter().any(|(task, at)| task.job == id && *at >= since);
        if matches!(verdict, Verdict::NotRun(_)) && ran {
            self.faults.push(format!(
                "{} ms: {id} was reported as not run, but a task of it has run",
                self.now / MS
            ));
        }
        if let Some(request) = self.requests.get_mut(&id) {
            let count = request.job.steps[0].count;
            let task = |index| Task { job: id.clone(), step: 0, index };
            let unfinished = (0..count).map(task).find(|task| !self.done.contains(task));
            if let (Verdict::Complete, Some(task)) = (&verdict, unfinished) {
                self.faults.push(format!(
                    "{} ms: reported as complete, but {task:?} has not finished",
                    self.now / MS
                ));
            }
            request.verdict = Some((verdict, self.now));
        }
    }

    /// Returns the number of jobs that were reported as complete within their objective, and the
    /// number of all jobs.
    pub fn count_in_time(&self) -> (usize, usize) {
        let good = self.requests.values().filter(|request| {
            let limit = request.first_sent + request.job.objective * MS;
            matches!(&request.verdict, Some((Verdict::Complete, at)) if *at <= limit)
        });
        (good.count(), self.requests.len())
    }

    /// Returns the number of jobs that were reported as complete.
    pub fn count_complete(&self) -> usize {
        let complete = |r: &&Request| matches!(r.verdict, Some((Verdict::Complete, _)));
        self.requests.values().filter(complete).count()
    }

    /// Returns whether the client of a job was told that the job is complete.
    pub fn is_complete(&self, id: &Name) -> bool {
        self.requests.get(id).is_some_and(|r| matches!(r.verdict, Some((Verdict::Complete, _))))
    }
}
