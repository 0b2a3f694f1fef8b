//! Judges start logs and answers against what must always hold.

use std::collections;

use serde_json::Value;

use super::upstream::Process;

/// Answers that clients got.
#[derive(Debug, Default)]
pub struct Answers {
    list: Vec<(String, usize, Value)>,
}

impl Answers {
    /// Notes an answer to a job of so many tasks.
    pub fn note(&mut self, job: &str, tasks: usize, answer: &Value) {
        self.list.push((job.to_owned(), tasks, answer.clone()));
    }

    /// Judges everything that was noted against the starts of all upstreams.
    pub fn judge(&self, upstreams: &[Process]) {
        let mut starts = collections::BTreeMap::<String, usize>::new();
        for task in upstreams.iter().flat_map(Process::starts) {
            *starts.entry(task).or_default() += 1;
        }
        let twice: Vec<_> = starts.iter().filter(|(_, count)| **count > 1).collect();
        assert!(twice.is_empty(), "started twice: {twice:?}");
        let mut states = collections::BTreeMap::<&str, collections::BTreeSet<&str>>::new();
        for (job, tasks, answer) in &self.list {
            let state = answer["state"].as_str().unwrap_or("none");
            states.entry(job).or_default().insert(state);
            if state == "complete" {
                whole(job, *tasks, answer);
            } else {
                assert!(answer.get("answers").is_none(), "partial answer: {answer}");
            }
        }
        for (job, states) in &states {
            let ran = starts.keys().any(|task| task.starts_with(&format!("{job}/")));
            let only_not_run = states.len() == 1 && states.contains("not_run");
            assert!(!(only_not_run && ran), "{job} was said not to have run, and it ran");
            let both = states.contains("complete") && states.contains("failed");
            assert!(!both, "{job} was said to be complete and to have failed");
        }
    }
}

/// Checks that an answer has each task's own answer, in task order.
fn whole(job: &str, tasks: usize, answer: &Value) {
    let answers = answer["answers"].as_array().unwrap();
    assert_eq!(answers.len(), tasks, "{job}");
    for (index, one) in answers.iter().enumerate() {
        assert_eq!(one["task"], format!("{job}/{index}"), "answer {index} of {job}");
        assert_eq!(one["payload"], index, "answer {index} of {job}");
    }
}
