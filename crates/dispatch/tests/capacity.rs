//! What instances can bear: the order of unequal instances, and what each of them believes of the
//! others.

mod world;

use dispatch::{
    Core, core,
    event::{Event, Output},
    member::{Capacity, Card, Role},
    membership::Membership,
    message::{Body, Ping},
    time::{MS, Now},
};
use state::{name::Name, policy::Policy};
use world::World;

const SMALL: Capacity = Capacity { cpu: 90, memory: 120, descriptors: 3_075, link: 19 };
const LARGE: Capacity = Capacity { cpu: 300, memory: 400, descriptors: 10_250, link: 62 };

fn card(at: usize, capacity: Capacity) -> Card {
    let name = Name::new(&format!("10.0.0.{}:7", 100 + at));
    Card { name, zone: "west".into(), role: Role::Entry, incarnation: 7, capacity }
}

/// Returns the indices of the cards in the order of their rank.
fn order(cards: &[Card]) -> Vec<usize> {
    let mut order: Vec<_> = (0..cards.len()).collect();
    order.sort_by_key(|at| cards[*at].rank());
    order
}

fn order_of(capacities: &[Capacity]) -> Vec<usize> {
    let cards = capacities.iter().enumerate();
    order(&cards.map(|(at, capacity)| card(at, *capacity)).collect::<Vec<_>>())
}

#[test]
fn strongest_first() {
    assert_eq!(order_of(&[SMALL, LARGE, SMALL, LARGE]), [1, 3, 0, 2]);
    let keeper = Card { role: Role::Keeper, ..card(1, SMALL) };
    assert_eq!(order(&[card(0, LARGE), keeper]), [1, 0], "the role comes before the capacity");
}

#[test]
fn equals_by_name() {
    assert_eq!(order_of(&[Capacity::default(); 3]), [0, 1, 2]);
    assert_eq!(order_of(&[SMALL; 3]), [0, 1, 2]);
    let slightly = |change: u32| Capacity { cpu: 90 + change, memory: 120 + change, ..SMALL };
    assert_eq!(order_of(&[SMALL, slightly(9), slightly(20)]), [0, 1, 2], "small differences");
}

/// What an instance has least of decides, and what is unknown counts as the least.
#[test]
fn scarcest_decides() {
    let narrow = Capacity { link: 1, ..LARGE };
    let few = Capacity { descriptors: 300, ..LARGE };
    assert_eq!(order_of(&[narrow, few, SMALL, LARGE]), [3, 2, 1, 0]);
    let unknown = Capacity { memory: 0, ..LARGE };
    assert_eq!(order_of(&[unknown, SMALL]), [1, 0]);
    let cpu = |cpu: u32| Capacity { cpu, ..Capacity::default() };
    assert_eq!(order_of(&[cpu(0), cpu(90), cpu(300)]), [2, 1, 0], "only the CPU time is known");
    assert_eq!(order_of(&[SMALL, Capacity { cpu: u32::MAX, ..LARGE }]), [1, 0]);
}

/// Lists of instances that name two capacities for one incarnation, which two processes with one
/// name cause, become the same everywhere, regardless of their order.
#[test]
fn one_name_twice() {
    let lists = [LARGE, SMALL].map(|capacity| vec![card(1, capacity)]);
    let merge = |first: usize| {
        let mut membership = Membership::new(card(0, SMALL), &[], 0);
        membership.merge_members(lists[first].clone(), Vec::new(), MS);
        membership.merge_members(lists[1 - first].clone(), Vec::new(), 2 * MS);
        membership
    };
    let (one, other) = (merge(0), merge(1));
    let known = |membership: &Membership| membership.peer(&card(1, SMALL).name)?.card.clone();
    assert_eq!(known(&one), Some(card(1, SMALL)));
    assert_eq!(known(&one), known(&other));
    assert_eq!(one.digest(), other.digest());
    let mut fresh = Membership::new(card(0, SMALL), &[], 0);
    fresh.merge_members(lists[0].clone(), Vec::new(), MS);
    assert_ne!(fresh.digest(), one.digest(), "the difference is seen");
}

/// Creates a system of one zone: a keeper and four entries, of which those at 3 and 4 have another
/// capacity than the rest.
fn started_world(seed: u64, rest: Capacity, last: Capacity) -> World {
    let mut world = World::with_keepers(seed, 1, 1, 4, 8);
    for at in 0..world.instances.len() {
        world.kill(at);
        world.instances[at].card.capacity = if at < 3 { rest } else { last };
    }
    (0..world.instances.len()).for_each(|at| world.start(at));
    world.run(4_000);
    world
}

/// Checks which instance schedules the zone after each loss.
fn check_takeovers(rest: Capacity, last: Capacity, losses: [(usize, usize); 2]) {
    for seed in 0..8 {
        let mut world = started_world(seed, rest, last);
        assert_eq!(world.schedulers(0), [0], "seed {seed}");
        for (lost, next) in losses {
            world.kill(lost);
            world.run(1_500);
            assert_eq!(world.schedulers(0), [next], "seed {seed}, {lost} is lost");
        }
    }
}

#[test]
fn strongest_takes_over() {
    check_takeovers(SMALL, LARGE, [(0, 3), (3, 4)]);
}

#[test]
fn equals_take_over_by_name() {
    check_takeovers(SMALL, SMALL, [(0, 1), (1, 2)]);
    check_takeovers(Capacity::default(), Capacity::default(), [(0, 1), (1, 2)]);
}

/// An instance that restarts with another size is known by that size from then on.
#[test]
fn resized() {
    let mut world = started_world(1, SMALL, LARGE);
    for (at, capacity) in [(3, SMALL), (1, LARGE)] {
        world.kill(at);
        world.instances[at].card.capacity = capacity;
        world.start(at);
    }
    world.run(2_000);
    world.kill(0);
    world.run(1_500);
    assert_eq!(world.schedulers(0), [1]);
}

/// Returns a heartbeat of a second process with the identity of `card`.
fn heartbeat_of(card: &Card) -> Ping {
    let (policy, seeds, zones) = (Policy::default(), vec!["10.0.0.1:7".into()], Vec::new());
    let (me, longest_lease, seed, cores, disk) = (card.clone(), 1_000, 7, 90, None);
    let config = core::Config { me, seeds, longest_lease, seed, cores, policy, zones, disk };
    let mut core = Core::new(config, Now::new(1, card.incarnation));
    let sent = core.handle(Event::Tick, Now::new(20 * MS, card.incarnation + 20));
    let ping = |output| match output {
        Output::Send(_, Body::Ping(ping)) => Some(*ping),
        _ => None,
    };
    sent.into_iter().find_map(ping).unwrap()
}

/// Two processes with one name and one incarnation, but different sizes, cause no endless exchange
/// of lists: everyone believes the least, also the larger one.
#[test]
fn quiet_lists() {
    let mut world = started_world(1, SMALL, LARGE);
    let twin = Card { capacity: SMALL, ..world.instances[3].card.clone() };
    for _ in 0..5 {
        let ping = Ping { clock: world.now, ..heartbeat_of(&twin) };
        let now = Now::new(world.now, twin.incarnation);
        let event = Event::Peer(twin.name.clone(), Body::Ping(Box::new(ping)));
        world.instances[4].core.as_mut().unwrap().handle(event, now);
        world.run(500);
    }
    world.run(3_000);
    world.sent.clear();
    world.run(3_000);
    let kinds: Vec<_> = world.sent.keys().copied().collect();
    assert_eq!(kinds, ["ping"], "{:?}", world.sent);
    let now = Now::new(world.now, twin.incarnation);
    let capacity = |at: usize| world.instances[at].core.as_ref().unwrap().status(now).capacity;
    assert_eq!((capacity(3), capacity(4)), (SMALL, LARGE));
    world.kill(0);
    world.run(1_500);
    assert_eq!(world.schedulers(0), [4]);
}

/// Heartbeats grow by less than a tenth.
#[test]
fn heartbeat_size() {
    let size = |capacity: Capacity| {
        let mut world = World::with_keepers(1, 3, 2, 6, 8);
        for at in 0..world.instances.len() {
            world.kill(at);
            world.instances[at].card.capacity = capacity;
            world.start(at);
        }
        world.run(4_000);
        world.count_flows = true;
        world.run(3_000);
        let sent = world.flows.iter().filter(|((_, sends, kind), _)| *sends && *kind == "ping");
        let (count, bytes) =
            sent.fold((0, 0), |(n, b), (_, flow)| (n + flow.count, b + flow.bytes));
        bytes / count
    };
    // Each of the four unknown fields takes one byte.
    let former = size(Capacity::default()) - 4;
    let larger = size(LARGE);
    assert!(larger * 10 <= former * 11, "{former} bytes, then {larger}");
}
