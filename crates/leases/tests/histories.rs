//! Random histories of leases: there are never two holders, no action with an old token takes
//! effect, and a released task gets a new holder.

mod world;

use world::{LEASE_MS, World};

/// One history: faults for 20 leases, then only message loss for six, after which every task has a
/// holder.
fn history(seed: u64, check_tokens: bool) -> Result<World, String> {
    let mut world = World::new(seed, check_tokens);
    world.run(20 * LEASE_MS, 15)?;
    world.run(6 * LEASE_MS, 0)?;
    let mut has_holder = vec![false; world.tasks()];
    for _ in 0..20 {
        world.run(LEASE_MS / 10, 0)?;
        has_holder
            .iter_mut()
            .enumerate()
            .for_each(|(task, held)| *held |= !world.holders_of(task).is_empty());
    }
    if let Some(task) = has_holder.iter().position(|held| !held) {
        return Err(format!("task {task} has no holder at the end"));
    }
    Ok(world)
}

fn seeds() -> u64 {
    std::env::var("DUTY_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(400)
}

#[test]
fn histories_keep_every_rule() {
    let (mut acts, mut refused, mut faults) = (0, 0, 0);
    for seed in 0..seeds() {
        let world = history(seed, true).unwrap_or_else(|broken| panic!("seed {seed}: {broken}"));
        acts += world.counts.acts;
        refused += world.counts.refused;
        faults += world.counts.faults;
    }
    println!("{acts} acts, {refused} refused, {faults} faults");
    assert!(acts > 10_000 && refused > 100, "too little happened");
}

#[test]
fn after_a_kill_another_takes_over_within_one_and_a_half_leases() {
    let mut times = Vec::new();
    for seed in 0..seeds() {
        let mut world = World::new(seed, true);
        world.late_messages = false;
        for _ in 0..4 {
            world.run(4 * LEASE_MS, 0).expect("no rule is broken");
            times.extend(world.kill_holder(0).expect("no rule is broken"));
        }
    }
    times.sort_unstable();
    let slowest_percentile = times[times.len() * 99 / 100];
    println!(
        "{} kills: half within {} ms, 99 in 100 within {slowest_percentile} ms",
        times.len(),
        times[times.len() / 2]
    );
    assert!(times.len() > 1_000, "{} kills are too few", times.len());
    assert!(
        slowest_percentile <= 3 * LEASE_MS / 2,
        "one in a hundred takes {slowest_percentile} ms"
    );
}

#[test]
fn without_the_check_an_old_act_is_seen() {
    let broken = (0..100).find_map(|seed| history(seed, false).err());
    let broken = broken.expect("no history breaks a rule without the check");
    assert!(broken.contains("acts by token"), "{broken}");
}
