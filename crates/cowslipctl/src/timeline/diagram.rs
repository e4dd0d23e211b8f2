//! A picture of a time line: one lane for each process, one point for each event.

use {
    super::event::Event,
    plotters::prelude::{
        BLACK, ChartBuilder, Circle, Color, DrawingAreaErrorKind, IntoDrawingArea, IntoFont,
        PathElement, RGBColor, SVGBackend, Text, WHITE,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        io,
    },
};

/// Result of drawing a picture.
pub type Result<T> = std::result::Result<T, DrawingAreaErrorKind<io::Error>>;

/// Width in pixels.
const WIDTH: u32 = 1400;
/// Height of a lane in pixels.
const LANE: u32 = 60;
/// Height of the axis and the margins in pixels.
const FRAME: u32 = 100;
/// Radius of a point in pixels.
const RADIUS: i32 = 4;
/// Events that are labelled with their code; more would hide each other.
const LABELLED: usize = 150;
/// Room for the names of the processes in pixels.
const NAMES: u32 = 160;

/// Returns the picture as SVG.
///
/// # Errors
/// Passes on what the plotting library says.
pub fn render_svg(events: &[Event]) -> Result<String> {
    let mut text = String::new();
    draw(events, &mut text)?;
    Ok(text)
}

fn draw(events: &[Event], text: &mut String) -> Result<()> {
    let names: BTreeSet<_> = events.iter().map(|event| &event.process).collect();
    let lanes: BTreeMap<_, _> = names.into_iter().zip(0_u32..).collect();
    let count = lanes.len().max(1) as u32;
    let first = events.first().map_or(0, |event| event.wall);
    let last = events.last().map_or(0, |event| event.wall);
    let span = (last - first).max(1) as f64;
    let at = |event: &Event| {
        let lane = lanes.get(&event.process).copied().unwrap_or_default();
        ((event.wall - first) as f64, f64::from(lane) + 0.5)
    };

    let area = SVGBackend::with_string(text, (WIDTH, LANE * count + FRAME)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(NAMES)
        .build_cartesian_2d(-span * 0.02..span * 1.05, 0.0..f64::from(count))?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("milliseconds since the first event")
        .y_labels(0)
        .draw()?;
    for (name, lane) in &lanes {
        let centre = f64::from(*lane) + 0.5;
        let line = vec![(0.0, centre), (span, centre)];
        chart.draw_series([PathElement::new(line, BLACK.mix(0.2))])?;
        let font = ("sans-serif", 14).into_font();
        let place = (-span * 0.02, centre + 0.3);
        chart.draw_series([Text::new(name.to_string(), place, font)])?;
    }
    let points = events
        .iter()
        .map(|event| Circle::new(at(event), RADIUS, color(event).filled()));
    chart.draw_series(points)?;
    if events.len() <= LABELLED {
        let font = || ("sans-serif", 10).into_font();
        let labels = events
            .iter()
            .map(|event| Text::new(event.code.clone(), at(event), font()));
        chart.draw_series(labels)?;
    }
    area.present()?;
    Ok(())
}

fn color(event: &Event) -> RGBColor {
    match event.level.as_str() {
        "error" => RGBColor(190, 0, 0),
        "warn" => RGBColor(220, 130, 0),
        "info" => RGBColor(0, 90, 170),
        _ => RGBColor(130, 130, 130),
    }
}
