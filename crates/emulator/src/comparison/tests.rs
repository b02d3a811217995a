//! Tests of `comparison.rs`.

use super::*;
use crate::experiment::Variant;

async fn simulated(bounds: &[MeasureBound]) -> Comparison {
    let variant = |name: &str| Variant {
        name: name.to_owned(),
        ..Variant::default()
    };
    let mut experiment = Experiment {
        name: "a".to_owned(),
        ..Experiment::default()
    };
    experiment.variant = vec![variant("one"), variant("two")];
    experiment.bounds.measure = bounds.to_vec();
    let folder = Path::new("/nonexistent");
    let order = Order {
        experiment: &experiment,
        seed: 1,
        plays: 2,
        launch: None,
        folder,
    };
    compare(order, |_, _, _| {}).await.expect("it is played")
}

fn bound(against: Option<&str>, least: Option<f64>, most: Option<f64>) -> MeasureBound {
    let (variant, against) = (Some("two".to_owned()), against.map(str::to_owned));
    MeasureBound {
        measure: Measure::Served,
        variant,
        against,
        least,
        most,
    }
}

#[tokio::test]
async fn the_same_against_itself_differs_by_nothing_and_a_bound_that_is_missed_fails() {
    let good = simulated(&[
        bound(Some("one"), Some(1.0), Some(1.0)),
        bound(None, Some(0.1), None),
    ])
    .await;
    assert!(good.passed && good.bounds.len() == 2, "{:?}", good.bounds);
    assert!(good.differences.iter().all(|d| d.difference.mean == 0.0));
    assert_eq!(good.differences.len(), Measure::ALL.len());
    let bad = simulated(&[bound(None, Some(1.01), None)]).await;
    assert!(!bad.passed && !bad.bounds[0].holds);
}
