//! Draws attainment by group as an SVG file.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use crate::compare::{CompareReport, PolicyKind};

const SIZE: (u32, u32) = (760, 420);
const COLOURS: [RGBColor; 3] = [
    RGBColor(40, 110, 180),
    RGBColor(200, 110, 40),
    RGBColor(60, 150, 80),
];

/// Draws the attainment of each class and team: one bar per policy, with a line from the lowest to the highest run.
pub fn plot(report: &CompareReport, path: &Path) -> eyre::Result<()> {
    draw(report, path).map_err(|error| eyre!("cannot draw {}: {error}", path.display()))
}

fn draw(report: &CompareReport, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let summaries = report.summaries.iter();
    let mut names: Vec<&str> = Vec::new();
    for (name, _) in summaries.clone().flat_map(|summary| &summary.measures) {
        let group = name.strip_suffix(" attainment");
        if let Some(group) = group.filter(|group| !names.contains(group)) {
            names.push(group);
        }
    }
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let caption = format!(
        "{}: share of calls in time, rate factor {}, seeds {:?}",
        report.scenario, report.rate_factor, report.seeds
    );
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..names.len() as f64, 0.0..1.0)?;
    let label = |at: &f64| names.get(*at as usize).map_or("", |name| name).to_owned();
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(names.len())
        .x_label_formatter(&label)
        .draw()?;
    for (index, (summary, colour)) in summaries.zip(COLOURS).enumerate() {
        let left = 0.1 + 0.4 * index as f64;
        let mut shapes = Vec::new();
        let mut bounds = Vec::new();
        for (position, group) in names.iter().enumerate() {
            let wanted = format!("{group} attainment");
            let found = summary.measures.iter().find(|(name, _)| *name == wanted);
            let Some((_, spread)) = found else { continue };
            let x = position as f64 + left;
            shapes.push(Rectangle::new(
                [(x, 0.0), (x + 0.35, spread.mean)],
                colour.filled(),
            ));
            let middle = x + 0.175;
            bounds.push(PathElement::new(
                vec![(middle, spread.lowest), (middle, spread.highest)],
                BLACK,
            ));
        }
        let name = match summary.policy {
            PolicyKind::Standard => "standard",
            PolicyKind::Naive => "naive",
            PolicyKind::Finish => "finish",
        };
        chart
            .draw_series(shapes)?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
        chart.draw_series(bounds)?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
