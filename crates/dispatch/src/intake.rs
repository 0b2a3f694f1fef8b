//! Jobs that entries hand to a scheduler, ask for and take back.

use state::name;

use crate::{
    active::{Active, Phase},
    job::{Job, Refusal, Verdict},
    lane::Lane,
    message,
    order::End,
    queue,
    sched::{FORMER, Sched},
    time, upstream,
};

/// A new scheduler refuses nothing for want of room until its upstreams have answered, or this
/// time has passed, microseconds: an upstream that answers at all does so within a few orders'
/// patience (50 ms).
const SURVEY: u64 = 300 * time::MS;

impl Sched {
    /// Takes a job from an entry that knows nothing of other schedulers' upstreams.
    pub fn submit(&mut self, job: Job, entry: &name::Name, now: u64) {
        self.hand_over(job, entry, message::Past::default(), now);
    }

    /// Takes a job from an entry, with what it knows of schedulers that had it before.
    pub fn hand_over(&mut self, job: Job, entry: &name::Name, past: message::Past, now: u64) {
        let over = (now + FORMER).saturating_sub(past.parted * time::MS);
        if !past.former.is_empty() {
            self.unsure.insert(job.id.clone());
        }
        // What was not run here may have been started by another scheduler since.
        if let Some((verdict, _)) = self.verdicts.get(&job.id)
            && job.resumed
            && !matches!(verdict, Verdict::NotRun(_))
        {
            self.out.verdicts.push((entry.clone(), job.id, verdict.clone()));
            return;
        }
        self.verdicts.remove(&job.id);
        if let Some(active) = self.jobs.get_mut(&job.id) {
            active.entry = entry.clone();
            active.awaited = now;
            active.stamp = job.stamp;
            // It was another scheduler's meanwhile.
            active.job.resumed |= job.resumed;
            active.started |= job.resumed;
            active.over = active.over.max(over);
            active.uncovered.extend(past.former);
            return;
        }
        if let Some(refusal) = self.check(&job, now) {
            let load = self.load(now);
            let detail = format!("{refusal:?}, {}m of {}m cores free", load.free, load.total);
            self.note("job: Refused.", &job.id, &detail);
            self.out.verdicts.push((entry.clone(), job.id, Verdict::NotRun(refusal)));
            return;
        }
        let id = job.id.clone();
        let mut active = Active::new(job, entry, now);
        active.over = over;
        active.uncovered.extend(past.former);
        self.jobs.insert(id.clone(), active);
        self.adopt(&id, now);
        self.dirty = true;
    }

    /// Why a job is refused at once, if it is.
    pub(crate) fn check(&self, job: &Job, now: u64) -> Option<Refusal> {
        if job.resumed {
            return None;
        }
        let serves = |lane: &&Lane| lane.record.service == job.service && lane.is_read();
        let mut known = self.lanes.values().filter(serves).peekable();
        if known.peek().is_some() {
            let fits = |need: &upstream::Room| {
                self.lanes.values().filter(serves).any(|lane| need.fits(&lane.record.room))
            };
            if !job.steps.iter().all(|step| fits(&step.need)) {
                return Some(Refusal::TooLarge);
            }
        }
        if now < self.since + SURVEY && self.lanes.values().any(|lane| !lane.is_read()) {
            return None;
        }
        let line = self.jobs.values().map(|active| (active.due(), active.waiting_cpu()));
        queue::refuse(job, line, self.load(now), now).map(Refusal::Overload)
    }

    /// Attaches runs and ends of a former scheduler to a job that was handed in again.
    pub(crate) fn adopt(&mut self, id: &name::Name, now: u64) {
        self.orphans.retain(|task, _| task.job != *id);
        let mut found = Vec::new();
        for (name, lane) in &mut self.lanes {
            for (task, run) in lane.runs.iter_mut().filter(|(task, _)| task.job == *id) {
                // One that was told to stop already ends, and the task waits again then.
                if run.unwanted == Some(0) {
                    run.unwanted = None;
                }
                found.push((name.clone(), task.clone(), run.attempt));
            }
        }
        let mut spare = Vec::new();
        if let Some(active) = self.jobs.get_mut(id) {
            for (lane, task, attempt) in found {
                let Some(item) = active.item_mut(&task) else { continue };
                item.attempt = item.attempt.max(attempt);
                // A start that was carried out late may have left two runs of one task.
                if matches!(item.phase, Phase::Placed(_)) {
                    spare.push((lane, task));
                } else {
                    active.set(&task, Phase::Placed(lane));
                }
            }
        }
        for (lane, task) in spare {
            self.unwant(&lane, &task);
        }
        let done = self.ends.iter().filter(|(task, (end, _))| task.job == *id && *end == End::Done);
        let done: Vec<_> = done.map(|(task, _)| task.clone()).collect();
        if let Some(active) = self.jobs.get_mut(id) {
            for task in done {
                active.set(&task, Phase::Done);
            }
        }
        self.settle(id, now);
    }

    /// Nobody waits for the job any more.
    pub fn cancel(&mut self, id: &name::Name, entry: &name::Name) {
        if self.jobs.get(id).is_some_and(|active| active.entry == *entry) {
            self.drop_job(id);
        }
    }

    /// Nobody is known to wait for anything any more.
    pub fn drop_all(&mut self) {
        for id in self.jobs.keys().cloned().collect::<Vec<_>>() {
            self.drop_job(&id);
        }
    }

    /// An entry has come back without its memory: nobody waits for its jobs any more.
    pub fn forget_entry(&mut self, entry: &name::Name) {
        self.known.remove(entry);
        let of_entry = self.jobs.iter().filter(|(_, active)| active.entry == *entry);
        for id in of_entry.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.drop_job(&id);
        }
    }

    /// An entry still waits for these jobs.
    pub fn awaited(
        &mut self,
        ids: &[name::Name],
        entry: &name::Name,
        stamp: u64,
        now: u64,
    ) -> Vec<name::Name> {
        let mut unknown = Vec::new();
        for id in ids {
            if let Some(active) = self.jobs.get_mut(id) {
                active.awaited = now;
                active.stamp = stamp;
                active.entry = entry.clone();
            } else if let Some((verdict, _)) = self.verdicts.get(id) {
                self.out.verdicts.push((entry.clone(), id.clone(), verdict.clone()));
            } else {
                unknown.push(id.clone());
            }
        }
        unknown
    }
}
