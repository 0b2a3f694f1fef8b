//! Checks the start logs of upstreams and the answers to clients against the system's invariants.

use std::collections;

use serde_json::Value;

use super::upstream::Process;

/// Answers that clients received.
#[derive(Debug, Default)]
pub struct Answers {
    entries: Vec<(String, usize, Value)>,
}

impl Answers {
    /// Records an answer to a job of `tasks` tasks.
    pub fn record(&mut self, job: &str, tasks: usize, answer: &Value) {
        self.entries.push((job.to_owned(), tasks, answer.clone()));
    }

    /// Checks all recorded answers against the task starts of all upstreams: no task started twice,
    /// a complete answer has the answers of all tasks, no other answer has any, and no job has
    /// contradictory states.
    pub fn verify(&self, upstreams: &[Process]) {
        let mut starts = collections::BTreeMap::<String, usize>::new();
        for task in upstreams.iter().flat_map(Process::starts) {
            *starts.entry(task).or_default() += 1;
        }
        let duplicates: Vec<_> = starts.iter().filter(|(_, count)| **count > 1).collect();
        assert!(duplicates.is_empty(), "tasks started more than once: {duplicates:?}");
        let mut states = collections::BTreeMap::<&str, collections::BTreeSet<&str>>::new();
        for (job, tasks, answer) in &self.entries {
            let state = answer["state"].as_str().unwrap_or("none");
            states.entry(job).or_default().insert(state);
            if state == "complete" {
                assert_complete(job, *tasks, answer);
            } else {
                assert!(
                    answer.get("answers").is_none(),
                    "answers in a response that is not complete: {answer}"
                );
            }
        }
        for (job, states) in &states {
            let ran = starts.keys().any(|task| task.starts_with(&format!("{job}/")));
            let only_not_run = states.len() == 1 && states.contains("not_run");
            assert!(!(only_not_run && ran), "{job} was reported as not_run, but its tasks started");
            let contradictory = states.contains("complete") && states.contains("failed");
            assert!(!contradictory, "{job} was reported both as complete and as failed");
        }
    }
}

/// Checks that an answer contains the answer of each task, in task order.
fn assert_complete(job: &str, tasks: usize, answer: &Value) {
    let answers = answer["answers"].as_array().unwrap();
    assert_eq!(answers.len(), tasks, "number of answers of {job}");
    for (index, answer) in answers.iter().enumerate() {
        assert_eq!(answer["task"], format!("{job}/{index}"), "answer {index} of {job}");
        assert_eq!(answer["payload"], index, "answer {index} of {job}");
    }
}
