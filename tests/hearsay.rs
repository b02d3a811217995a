//! What others' word does to decisions, what it must not do, and how keys find their endpoints.

mod common;
use common::*;
use linenproxy::*;

const SECOND: Micros = 1000 * MS;

/// A request about a key.
fn about(rig: &mut Rig, class: ClassId, key: Option<u64>) -> (RequestId, Vec<Action>) {
    let (id, due) = (rig.next, rig.now + 3 * SECOND);
    rig.next += 1;
    let new = NewRequest { id, class, tenant: None, key, bound: Vec::new(), due, work: None, repeat: false };
    (id, rig.event(Event::Request(new)))
}

/// Ends whatever is out at an endpoint.
fn end_at(rig: &mut Rig, endpoint: EndpointId, outcome: Outcome) -> Vec<Action> {
    let there: Vec<_> = rig.out.iter().filter(|(_, o)| o.endpoint == endpoint).map(|(key, _)| *key).collect();
    there.into_iter().flat_map(|(id, attempt)| rig.end(id, attempt, outcome)).collect()
}

fn word(endpoint: EndpointId, rest: Rest, until: Micros) -> Event {
    Event::Words(vec![Word { endpoint, rest, until }])
}

fn sharing(words: bool, ahead: f64) -> Sharing {
    Sharing { words, ahead }
}

#[test]
fn an_endpoint_that_rests_gets_nothing_until_its_word_is_past_its_bound_or_taken_back() {
    let mut rig = Rig::new(settings(), 4, 1);
    rig.balancer.share(sharing(true, 0.0));
    let until = rig.now + 60 * SECOND;
    rig.event(word(1, Rest::Yes, until));
    rig.event(word(2, Rest::Yes, rig.now + 100 * MS));
    assert_eq!(rig.balancer.census().resting, 2);
    let first = used(&mut rig, 4);
    assert!(!first.contains(&1) && !first.contains(&2), "{first:?}");
    rig.wait(100 * MS);
    let later = used(&mut rig, 12);
    assert!(!later.contains(&1) && later.contains(&2), "{later:?}");
    rig.event(word(1, Rest::No, rig.now));
    assert!(used(&mut rig, 12).contains(&1));
}

#[test]
fn no_word_gives_work_to_what_drains_or_makes_an_unlisted_one_known() {
    let mut rig = Rig::new(settings(), 3, 1);
    rig.balancer.share(sharing(true, 0.0));
    let draining = Listing { status: Status::Draining, ..listing(1) };
    rig.event(Event::Endpoints(ListUpdate::Delta(vec![draining])));
    for rest in [Rest::Trial, Rest::Over, Rest::No] {
        rig.event(word(1, rest, rig.now + 60 * SECOND));
        rig.event(word(77, rest, rig.now + 60 * SECOND));
        let used = used(&mut rig, 6);
        assert!(!used.contains(&1) && !used.contains(&77), "{rest:?}: {used:?}");
    }
    assert!(!rig.balancer.knows(77));
}

#[test]
fn whom_it_is_to_try_gets_one_request_wherever_it_stands() {
    // Of forty endpoints few are within reach of a sidecar with little traffic.
    for endpoint in 0..40 {
        let mut rig = Rig::new(settings(), 40, 7);
        rig.balancer.share(sharing(true, 0.0));
        used(&mut rig, 3);
        rig.event(word(endpoint, Rest::Trial, rig.now + 60 * SECOND));
        assert_eq!(sent(&rig.request(SAFE).1), [endpoint]);
        // One at a time.
        assert!(!sent(&rig.request(SAFE).1).contains(&endpoint));
    }
}

#[test]
fn an_own_open_circuit_closes_once_others_were_served() {
    let mut rig = Rig::new(settings(), 3, 1);
    rig.balancer.share(sharing(true, 0.0));
    for _ in 0..40 {
        for endpoint in sent(&rig.request(SAFE).1) {
            let outcome = if endpoint == 1 { Outcome::Error } else { Outcome::Ok };
            end_at(&mut rig, endpoint, outcome);
        }
    }
    assert_eq!(rig.balancer.census().circuits_open, 1);
    rig.event(word(1, Rest::Over, rig.now + SECOND));
    assert_eq!(rig.balancer.census().circuits_open, 0);
}

#[test]
fn what_waits_at_a_resting_endpoint_for_long_is_called_back_only_where_it_may_run_again() {
    for (class, called) in [(SAFE, true), (UNSAFE, false)] {
        let mut rig = Rig::new(settings(), 2, 1);
        rig.balancer.share(sharing(true, 0.0));
        used(&mut rig, 20);
        let (id, actions) = rig.request(class);
        let endpoint = sent(&actions)[0];
        // Just sent: as likely as not it is only on its way.
        let soon = rig.event(word(endpoint, Rest::Yes, rig.now + 60 * SECOND));
        assert!(!soon.iter().any(|a| matches!(a, Action::Cancel { .. })), "{soon:?}");
        rig.now += 400 * MS;
        let late = rig.event(word(endpoint, Rest::Yes, rig.now + 60 * SECOND));
        let cancels = late.contains(&Action::Cancel { request: id, attempt: 0 });
        assert_eq!(cancels, called, "class {class}: {late:?}");
    }
}

#[test]
fn how_attempts_end_is_told_only_where_that_is_wanted_and_a_full_endpoint_is_not_sick() {
    let told = |words: bool, outcome: Outcome| {
        let mut rig = Rig::new(settings(), 1, 1);
        rig.balancer.share(sharing(words, 0.0));
        rig.request(SAFE);
        let actions = end_at(&mut rig, 0, outcome);
        actions.iter().find_map(|a| match a {
            Action::Witness { served, .. } => Some(*served),
            _ => None,
        })
    };
    assert_eq!(told(true, Outcome::Ok), Some(true));
    assert_eq!(told(true, Outcome::ConnectFailed), Some(false));
    assert_eq!(told(true, Outcome::Rejected), None);
    assert_eq!(told(false, Outcome::Ok), None);
}

#[test]
fn an_attempt_far_later_than_usual_is_told_of_once_and_not_where_something_was_answered_since() {
    let told = |actions: &[Action]| {
        let of = |a: &&Action| matches!(a, Action::Witness { served: false, .. });
        actions.iter().filter(of).count()
    };
    let mut rig = Rig::new(settings(), 1, 1);
    rig.balancer.share(sharing(true, 0.0));
    used(&mut rig, 20);
    let (first, _) = rig.request(SAFE);
    assert_eq!(told(&rig.wait(300 * MS)), 0);
    rig.now += 500 * MS;
    let looks: usize = (0..3).map(|_| told(&rig.event(Event::Words(Vec::new())))).sum();
    assert_eq!(looks, 1);
    rig.end(first, 0, Outcome::Ok);
    // Another that was sent after it is answered first: it is slow, not silent.
    let (slow, _) = rig.request(SAFE);
    rig.now += 10 * MS;
    let (quick, _) = rig.request(SAFE);
    rig.now += 20 * MS;
    rig.end(quick, 0, Outcome::Ok);
    rig.now += 800 * MS;
    assert_eq!(told(&rig.event(Event::Words(Vec::new()))), 0);
    rig.end(slow, 0, Outcome::Ok);
}

/// A history drawn from a seed; `more` may say things in between. Gives all that was asked for.
fn history(seed: u64, share: Sharing, more: impl Fn(&mut Rig, &mut fastrand::Rng)) -> Vec<Action> {
    let (mut rig, mut rng) = (Rig::new(settings(), 12, seed), fastrand::Rng::with_seed(seed));
    // What is drawn for words must not move what is drawn for the history.
    let mut others = fastrand::Rng::with_seed(!seed);
    rig.balancer.share(share);
    let mut all = Vec::new();
    for _ in 0..200 {
        more(&mut rig, &mut others);
        let (class, pause) = (rng.usize(0..3), rng.i64(1..200) * MS);
        all.extend(rig.request(class).1);
        all.extend(rig.wait(pause));
        let open: Vec<_> = rig.out.keys().copied().collect();
        for (id, attempt) in open {
            let outcome = match rng.u8(0..10) {
                0 => Outcome::Error,
                1 => Outcome::ConnectFailed,
                2 => Outcome::Reset,
                3 | 4 => continue,
                _ => Outcome::Ok,
            };
            all.extend(rig.end(id, attempt, outcome));
        }
    }
    all.retain(|a| !matches!(a, Action::Witness { .. }));
    all
}

/// Past its bound a word counts as never said: decisions equal a lone instance's over random histories.
#[test]
fn words_past_their_bound_change_no_decision_at_all() {
    for seed in 0..60 {
        let lone = history(seed, Sharing::default(), |rig, _| drop(rig.event(Event::Words(Vec::new()))));
        let same = |one: &[Action], other: &[Action], what: &str| {
            let differs = one.iter().zip(other).position(|(a, b)| a != b);
            assert_eq!((differs, one.len()), (None, other.len()), "{what}, seed {seed}");
        };
        let late = history(seed, sharing(true, 0.0), |rig, rng| {
            let rests = [Rest::Yes, Rest::Trial, Rest::Over];
            let mut words = Vec::new();
            for _ in 0..rng.usize(0..4) {
                let (endpoint, until) = (rng.usize(0..12), rig.now - rng.i64(0..5 * SECOND));
                words.push(Word { endpoint, rest: rests[rng.usize(0..3)], until });
            }
            rig.event(Event::Words(words));
        });
        same(&late, &lone, "past the bound");
        let taken_back = history(seed, sharing(true, 0.0), |rig, rng| {
            let (endpoint, until) = (rng.usize(0..12), rig.now + SECOND);
            let both = [Rest::Yes, Rest::No].map(|rest| Word { endpoint, rest, until });
            rig.event(Event::Words(both.to_vec()));
        });
        same(&taken_back, &lone, "taken back");
    }
}

/// Without a key, or with affinity off, first picks are the round robin to the bit.
#[test]
fn keys_change_nothing_where_affinity_is_off_and_affinity_nothing_without_keys() {
    let picks = |ahead: f64, key: Option<u64>| {
        let mut rig = Rig::new(settings(), 7, 3);
        rig.balancer.share(sharing(false, ahead));
        let mut all = Vec::new();
        for _ in 0..300 {
            all.extend(sent(&about(&mut rig, SAFE, key).1));
            rig.serve(20 * MS);
        }
        all
    };
    assert_eq!(picks(0.0, Some(5)), picks(0.0, None));
    assert_eq!(picks(2.0, None), picks(0.0, None));
    assert_ne!(picks(2.0, Some(5)), picks(0.0, None));
}

/// An endpoint is never more than the stated turns ahead of its weight, and a key keeps to few endpoints.
#[test]
fn keys_keep_to_their_endpoints_within_the_stated_turns() {
    let ahead = 2.0;
    let mut rig = Rig::new(settings(), 5, 3);
    rig.balancer.share(sharing(false, ahead));
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut counts, mut by_key) = ([0_i64; 5], vec![[0_usize; 5]; 40]);
    for n in 1..=2000_i64 {
        let key = rng.u64(0..40);
        for endpoint in sent(&about(&mut rig, SAFE, Some(key)).1) {
            counts[endpoint] += 1;
            by_key[key as usize][endpoint] += 1;
        }
        rig.serve(20 * MS);
        let fair = n as f64 / 5.0;
        // A turn more for the one that is under way, and one for where the ring began.
        let ahead_now = counts.iter().map(|c| *c as f64 - fair).fold(0.0, f64::max);
        let behind = counts.iter().map(|c| fair - *c as f64).fold(0.0, f64::max);
        assert!(ahead_now <= ahead + 2.0, "after {n}: {counts:?}");
        assert!(behind <= 8.0 * ahead + 2.0, "after {n}: {counts:?}");
    }
    let top: usize = by_key.iter().map(|k| k.iter().max().copied().unwrap_or(0)).sum();
    // Round robin would bring a fifth of a key's requests to any endpoint.
    assert!(top * 2 > 2000, "{top} of 2000 went to their key's first endpoint");
}

/// One key alone must not keep the others from their turns.
#[test]
fn a_single_key_is_spread_by_weight_all_the_same() {
    let mut rig = Rig::new(settings(), 4, 9);
    rig.balancer.share(sharing(false, 2.0));
    let mut counts = [0; 4];
    for _ in 0..400 {
        sent(&about(&mut rig, SAFE, Some(1)).1).into_iter().for_each(|e| counts[e] += 1);
        rig.serve(20 * MS);
    }
    // The others are owed turns, up to so many; weights differ a little while paces are learnt.
    assert!(counts.iter().all(|c| (60..=125).contains(c)), "{counts:?}");
}
