//! Plots of one figure over the offered load, one line for each policy.

use std::path::Path;

use plotters::prelude::*;

use crate::error::ExperimentError;
use crate::summary::Cell;

const SIZE: (u32, u32) = (900, 520);
const LABEL_AREA: u32 = 60;
const CAPTION_SIZE: u32 = 20;
const HEADROOM: f64 = 1.08;

struct Line {
    policy: String,
    points: Vec<(f64, f64)>,
}

/// Draws an SVG file.
pub fn figure_by_load(
    path: &Path,
    title: &str,
    figure: &str,
    cells: &[&Cell],
) -> Result<(), ExperimentError> {
    let lines = lines(figure, cells);
    draw(path, title, &lines).map_err(|cause| ExperimentError::Plot(cause.to_string()))
}

fn lines(figure: &str, cells: &[&Cell]) -> Vec<Line> {
    let mut lines: Vec<Line> = Vec::new();
    for cell in cells {
        let Some(mean) = cell.mean(figure) else {
            continue;
        };
        let point = (cell.offered_load, mean);
        match lines.iter_mut().find(|line| line.policy == cell.policy) {
            Some(line) => line.points.push(point),
            None => lines.push(Line {
                policy: cell.policy.clone(),
                points: vec![point],
            }),
        }
    }
    lines
}

fn draw(path: &Path, title: &str, lines: &[Line]) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|line| line.points.iter());
    let top = points().map(|point| point.1).fold(0.0, f64::max) * HEADROOM;
    let left = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
    let right = points().map(|point| point.0).fold(0.0, f64::max);
    if lines.is_empty() {
        return Ok(());
    }
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", CAPTION_SIZE))
        .set_label_area_size(LabelAreaPosition::Left, LABEL_AREA)
        .set_label_area_size(LabelAreaPosition::Bottom, LABEL_AREA)
        .build_cartesian_2d(left - 0.05..right + 0.05, 0.0..top.max(f64::MIN_POSITIVE))?;
    chart.configure_mesh().x_desc("offered load").draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(line.points.clone(), color.stroke_width(2)).point_size(3);
        chart
            .draw_series(series)?
            .label(line.policy.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::UpperLeft)
        .draw()?;
    area.present()?;
    Ok(())
}
