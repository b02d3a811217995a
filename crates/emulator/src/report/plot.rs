//! Plots as SVG text.

use super::escaped;
use plotters::prelude::*;

/// Width of a plot in points.
const WIDTH: u32 = 860;
/// Height of a plot in points.
const HEIGHT: u32 = 300;

/// A name and its points.
pub(super) type Curve<'a> = (&'a str, Vec<(f64, f64)>);

/// One plot as SVG text; a note in its place where it cannot be drawn.
pub(super) fn plot(curves: &[Curve<'_>], marks: &[(f64, String)]) -> String {
    let mut svg = String::new();
    match draw(&mut svg, curves, marks) {
        Ok(()) => svg,
        Err(what) => format!("<p>It cannot be drawn: {}</p>", escaped(&what)),
    }
}

fn draw(svg: &mut String, curves: &[Curve<'_>], marks: &[(f64, String)]) -> Result<(), String> {
    let said = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
    let points = || curves.iter().flat_map(|(_, points)| points);
    let most = |of: fn(&(f64, f64)) -> f64| points().map(of).fold(0.0, f64::max).max(1e-6);
    let (right, top) = (most(|p| p.0), most(|p| p.1) * 1.05);
    let area = SVGBackend::with_string(svg, (WIDTH, HEIGHT)).into_drawing_area();
    area.fill(&WHITE).map_err(said)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .map_err(said)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .draw()
        .map_err(said)?;
    for (at, name) in marks.iter().filter(|(at, _)| *at <= right) {
        let line = PathElement::new([(*at, 0.0), (*at, top)], BLACK.mix(0.35));
        chart.draw_series(std::iter::once(line)).map_err(said)?;
        let text = Text::new(
            name.clone(),
            (*at, top * 0.98),
            ("sans-serif", 11).into_font(),
        );
        chart.draw_series(std::iter::once(text)).map_err(said)?;
    }
    for (i, (name, points)) in curves.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let line = LineSeries::new(points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(line)
            .map_err(said)?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()
        .map_err(said)?;
    area.present().map_err(said)?;
    Ok(())
}
