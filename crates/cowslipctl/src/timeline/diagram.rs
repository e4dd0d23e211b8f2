//! SVG diagram of a timeline, with a lane for each instance and a point for each event.

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

/// Result of drawing a diagram.
pub type Result<T> = std::result::Result<T, DrawingAreaErrorKind<io::Error>>;

/// Width of the diagram in pixels.
const WIDTH_PX: u32 = 1400;
/// Height of a lane in pixels.
const LANE_HEIGHT_PX: u32 = 60;
/// Height of the x axis and the margins in pixels.
const FRAME_HEIGHT_PX: u32 = 100;
/// Radius of a point in pixels.
const POINT_RADIUS_PX: i32 = 4;
/// Maximum number of events with code labels; more labels would overlap.
const MAX_LABELLED_EVENTS: usize = 150;
/// Width reserved for instance names in pixels.
const NAME_WIDTH_PX: u32 = 160;

/// Renders the events, which must be in causal order, as SVG.
///
/// # Errors
/// Fails if the plotting library cannot draw the diagram.
pub fn render_svg(events: &[Event]) -> Result<String> {
    let mut text = String::new();
    draw_events(events, &mut text)?;
    Ok(text)
}

fn draw_events(events: &[Event], text: &mut String) -> Result<()> {
    let names: BTreeSet<_> = events.iter().map(|event| &event.process).collect();
    let lanes: BTreeMap<_, _> = names.into_iter().zip(0_u32..).collect();
    let lane_count = lanes.len().max(1) as u32;
    let first = events.first().map_or(0, |event| event.wall);
    let last = events.last().map_or(0, |event| event.wall);
    let span = (last - first).max(1) as f64;
    let event_position = |event: &Event| {
        let lane = lanes.get(&event.process).copied().unwrap_or_default();
        ((event.wall - first) as f64, f64::from(lane) + 0.5)
    };

    let area = SVGBackend::with_string(
        text,
        (WIDTH_PX, LANE_HEIGHT_PX * lane_count + FRAME_HEIGHT_PX),
    )
    .into_drawing_area();
    area.fill(&WHITE)?;
    // Margins of 2 % of the span before the first event, and of 5 % after the last for its label.
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(NAME_WIDTH_PX)
        .build_cartesian_2d(-span * 0.02..span * 1.05, 0.0..f64::from(lane_count))?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("milliseconds since the first event")
        .y_labels(0)
        .draw()?;
    for (name, lane) in &lanes {
        let lane_centre = f64::from(*lane) + 0.5;
        let line = vec![(0.0, lane_centre), (span, lane_centre)];
        chart.draw_series([PathElement::new(line, BLACK.mix(0.2))])?;
        let font = ("sans-serif", 14).into_font();
        // The name stands above the line of its lane.
        let position = (-span * 0.02, lane_centre + 0.3);
        chart.draw_series([Text::new(name.to_string(), position, font)])?;
    }
    let points = events.iter().map(|event| {
        Circle::new(
            event_position(event),
            POINT_RADIUS_PX,
            level_color(event).filled(),
        )
    });
    chart.draw_series(points)?;
    if events.len() <= MAX_LABELLED_EVENTS {
        let font = || ("sans-serif", 10).into_font();
        let labels = events
            .iter()
            .map(|event| Text::new(event.code.clone(), event_position(event), font()));
        chart.draw_series(labels)?;
    }
    area.present()?;
    Ok(())
}

fn level_color(event: &Event) -> RGBColor {
    match event.level.as_str() {
        "error" => RGBColor(190, 0, 0),
        "warn" => RGBColor(220, 130, 0),
        "info" => RGBColor(0, 90, 170),
        _ => RGBColor(130, 130, 130),
    }
}
