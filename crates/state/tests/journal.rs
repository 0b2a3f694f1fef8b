//! The journal's job table: one owner per job, expulsion of instances, quotas.

use state::{
    JobId, Member, Name,
    table::{Claim, Command, Effect, Outcome, Table},
};

fn job(number: u128) -> JobId {
    JobId::new(&Name::new("west"), uuid::Uuid::from_u128(number << 80 | 7 << 76))
}

fn member(name: &str, incarnation: u64) -> Member {
    Member::new(&Name::new(name), incarnation)
}

fn admit(job: JobId, owner: &Member, claim: Option<Claim>) -> Command {
    Command::Admit { job, digest: 1, owner: owner.clone(), claim }
}

fn claim(tasks: u32, flight_limit: u32, max_rate: u32, time_ms: u64) -> Claim {
    Claim { account: Name::new("quotes north"), tasks, flight_limit, max_rate, time_ms }
}

#[test]
fn one_owner() {
    let (a, b) = (member("west-1", 1), member("west-2", 2));
    let mut table = Table::new();
    assert_eq!(table.apply(admit(job(1), &a, None)), [Effect::Refused(job(1), a.clone())]);
    table.apply(Command::Join(a.clone()));
    table.apply(Command::Join(b.clone()));
    assert_eq!(table.apply(admit(job(1), &a, None)), [Effect::Admitted(job(1), a.clone())]);
    assert_eq!(table.apply(admit(job(1), &b, None)), [Effect::Duplicate(job(1), b.clone())]);
    // Only the owner can end the job, and only once.
    let end = |owner: &Member, outcome| Command::End { job: job(1), owner: owner.clone(), outcome };
    assert_eq!(table.apply(end(&b, Outcome::Failed)), []);
    assert_eq!(table.apply(end(&a, Outcome::Complete)), [Effect::Ended(job(1), Outcome::Complete)]);
    assert_eq!(table.apply(end(&a, Outcome::Failed)), []);
    assert_eq!(table.apply(admit(job(1), &b, None)), [Effect::Duplicate(job(1), b)]);
}

#[test]
fn expulsion() {
    let (old, new) = (member("west-1", 1), member("west-1", 2));
    let mut table = Table::new();
    table.apply(Command::Join(old.clone()));
    table.apply(admit(job(1), &old, None));
    // The next incarnation of an instance ends the jobs of the previous one.
    let effects = table.apply(Command::Join(new.clone()));
    assert!(effects.contains(&Effect::Ended(job(1), Outcome::Failed)), "{effects:?}");
    assert!(table.is_live(&new) && !table.is_live(&old));
    assert_eq!(table.apply(admit(job(2), &old, None)), [Effect::Refused(job(2), old)]);
}

#[test]
fn again_after_not_run() {
    let a = member("west-1", 1);
    let mut table = Table::new();
    table.apply(Command::Join(a.clone()));
    table.apply(admit(job(1), &a, None));
    let outcome = Outcome::NotRun;
    table.apply(Command::End { job: job(1), owner: a.clone(), outcome });
    assert_eq!(table.apply(admit(job(1), &a, None)), [Effect::Admitted(job(1), a)]);
}

#[test]
fn quota_in_flight() {
    let a = member("west-1", 1);
    let mut table = Table::new();
    table.apply(Command::Join(a.clone()));
    let admitted = |effects: &[Effect]| matches!(effects, [Effect::Admitted(..)]);
    assert!(admitted(&table.apply(admit(job(1), &a, Some(claim(6, 10, 0, 0))))));
    assert!(!admitted(&table.apply(admit(job(2), &a, Some(claim(5, 10, 0, 0))))));
    assert!(admitted(&table.apply(admit(job(3), &a, Some(claim(4, 10, 0, 0))))));
    table.apply(Command::End { job: job(1), owner: a.clone(), outcome: Outcome::Failed });
    assert!(admitted(&table.apply(admit(job(2), &a, Some(claim(5, 10, 0, 0))))));
    // Expulsion returns the whole quota.
    table.apply(Command::Expel(a.clone()));
    table.apply(Command::Join(a.clone()));
    assert!(admitted(&table.apply(admit(job(4), &a, Some(claim(10, 10, 0, 0))))));
}

#[test]
fn quota_rate() {
    let a = member("west-1", 1);
    let mut table = Table::new();
    table.apply(Command::Join(a.clone()));
    let mut admitted = 0;
    // 20 jobs with one task each per second for 10 seconds, at a limit of 5 tasks per second.
    for step in 0..200_u64 {
        let at = 1_000_000 + step * 50;
        let effects = table.apply(admit(job(u128::from(step) + 1), &a, Some(claim(1, 0, 5, at))));
        match effects.as_slice() {
            [Effect::Admitted(..)] => admitted += 1,
            [Effect::QuotaExceeded(_, _, retry)] => assert!((1..=1_000).contains(retry), "{retry}"),
            other => panic!("{other:?}"),
        }
    }
    // The quota admits a burst of one second's tasks, then tasks at the limit.
    assert!((50..=55).contains(&admitted), "{admitted}");
}

#[test]
fn forgetting() {
    let a = member("west-1", 1);
    let mut table = Table::new();
    table.apply(Command::Join(a.clone()));
    table.apply(admit(job(10), &a, None));
    table.apply(admit(job(20), &a, None));
    table.apply(Command::End { job: job(10), owner: a, outcome: Outcome::Complete });
    assert_eq!(table.prune(30), 1, "a job that has not ended must be kept");
    assert!(table.get(&job(10)).is_none() && table.get(&job(20)).is_some());
    assert_eq!(table.pruned_before(), 30);
}
