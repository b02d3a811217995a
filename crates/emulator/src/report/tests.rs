//! Tests of `report.rs`.

use super::*;
use crate::comparison::{Order, compare};
use crate::experiment::{Experiment, Fault, FaultKind, Variant};
use load_balancer_common::units::Time;
use std::path::Path;

#[tokio::test]
async fn a_report_holds_every_plot_and_no_foreign_markup() {
    let variant = |name: &str| Variant {
        name: name.to_owned(),
        ..Variant::default()
    };
    let mut experiment = Experiment {
        name: "a".to_owned(),
        about: "<script>".to_owned(),
        ..Experiment::default()
    };
    experiment.variant = vec![variant("one"), variant("two")];
    let (at, lasts) = (Time::ms(3000), Time::ms(2000));
    let kind = FaultKind::ServersDie;
    experiment.fault = vec![Fault {
        kind,
        at,
        lasts,
        zone: None,
        part: Some(0.3),
        size: None,
        way: None,
    }];
    let folder = Path::new("/nonexistent");
    let order = Order {
        experiment: &experiment,
        seed: 1,
        plays: 2,
        launch: None,
        folder,
    };
    let page = html(&compare(order, |_, _, _| {}).await.expect("it is played"));
    assert_eq!(page.matches("<svg").count(), 4, "a plot is missing");
    assert!(page.contains("servers-die ends") && page.contains("served_worst_second"));
    assert!(!page.contains("<script>") && page.contains("&lt;script&gt;"));
}
