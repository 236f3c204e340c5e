//! Runs each scaling measurement in a separate process, so that memory use does not mix.

use std::process::Command;

use crate::scaling::scaling_command::{ScalingCommand, ScalingPointCommand};
use crate::scaling::scaling_figure::ScalingFigure;
use crate::scaling::scaling_subject::ScalingSubject;
use crate::scaling::{
    catalog_scaling, codec_scaling, member_scaling, picker_scaling, queue_scaling, record_scaling,
    view_scaling,
};

/// Measures one component at one size and prints the figures as JSON.
pub fn measure_point(command: &ScalingPointCommand) {
    let size = command.size;
    let figures = match command.subject {
        ScalingSubject::Records => record_scaling::measure(size),
        ScalingSubject::View => view_scaling::measure(size),
        ScalingSubject::Members => member_scaling::measure(size),
        ScalingSubject::Queue => queue_scaling::measure(size),
        ScalingSubject::Picker => picker_scaling::measure(size),
        ScalingSubject::Catalog => catalog_scaling::measure(size),
        ScalingSubject::Offers => codec_scaling::measure(size),
    };
    println!("{}", serde_json::to_string(&figures).unwrap_or_default());
}

/// Measures the selected components at every size and prints one table per component.
pub fn measure_all(command: &ScalingCommand) {
    for subject in ScalingSubject::ALL {
        if command.subject.is_none_or(|only| only == subject) {
            print_subject(subject);
        }
    }
}

fn print_subject(subject: ScalingSubject) {
    let mut is_first = true;
    for size in subject.sizes() {
        let figures = spawn_point(subject, *size);
        if is_first {
            print_head(subject, &figures);
            is_first = false;
        }
        let values: Vec<String> = figures
            .iter()
            .map(|figure| format!("{:.3}", figure.value))
            .collect();
        println!("| {size} | {} |", values.join(" | "));
    }
    println!();
}

fn print_head(subject: ScalingSubject, figures: &[ScalingFigure]) {
    let names: Vec<&str> = figures.iter().map(|figure| figure.name.as_str()).collect();
    println!("| {subject} | {} |", names.join(" | "));
    println!("| ---: |{}", " ---: |".repeat(names.len()));
}

/// Measures one component at one size in a child process; empty if that fails.
fn spawn_point(subject: ScalingSubject, size: usize) -> Vec<ScalingFigure> {
    let own = std::env::current_exe().unwrap_or_default();
    let (subject, size) = (subject.to_string(), size.to_string());
    let arguments = ["slope-point", "--subject", &subject, "--size", &size];
    let output = Command::new(own).args(arguments).output();
    let output = output.map(|output| output.stdout).unwrap_or_default();
    serde_json::from_slice(&output).unwrap_or_default()
}
