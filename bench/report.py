"""Turns the JSON lines of the experiments into docs/bench-report.md. Usage: report.py FILE"""

import json
import os
import subprocess
import sys

DOCS = "docs"
COMMON = {"experiment", "variant", "seed"}
TITLES = {
    "convergence": "Convergence: from the start of the `apply` command until in force on all nodes",
    "control_cost": "Control cost per node without traffic",
    "added_latency": "Added latency at 500 calls/s (upstream of 1 ms)",
    "move": "Traffic moves at 200 calls/s over 6 nodes",
    "zone": "A zone of four leaves and returns at 200 calls/s over 8 nodes",
    "log_outage": "Log outage of 10 s at 200 calls/s over 8 nodes",
}


def format_cell(value):
    if isinstance(value, dict):
        return ", ".join(f"{key} {count}" for key, count in value.items())
    return "" if value is None else str(value)


def markdown_table(rows):
    """Returns a Markdown table with a column for each key that any row has."""
    keys = list(dict.fromkeys(key for row in rows for key in row if key not in COMMON))
    lines = ["| " + " | ".join(keys) + " |", "|" + "---|" * len(keys)]
    lines += ["| " + " | ".join(format_cell(row.get(key)) for key in keys) + " |" for row in rows]
    return "\n".join(lines)


def draw_plot(name, title, x_label, y_label, series, log_x=False):
    """Draws a PNG with gnuplot; series maps a label to its points. Returns the Markdown of the image."""
    path = os.path.join(DOCS, "plots", name + ".png")
    blocks, parts = [], []
    for index, (label, points) in enumerate(series.items()):
        blocks.append(f"$d{index} << E\n" + "\n".join(f"{x} {y}" for x, y in points) + "\nE")
        parts.append(f"$d{index} using 1:2 with linespoints lw 2 pt 7 title '{label}'")
    script = "\n".join(blocks + [
        "set terminal pngcairo size 760,440 noenhanced", f"set output '{path}'",
        f"set title '{title}'", f"set xlabel '{x_label}'", f"set ylabel '{y_label}'",
        "set key outside bottom center vertical maxrows 4", "set grid", "set yrange [0:*]",
        "set logscale x 2" if log_x else "set xtics 1",
        "plot " + ", ".join(parts)])
    subprocess.run(["gnuplot"], input=script, text=True, check=True)
    return f"![{title}](plots/{name}.png)"


def draw_plots(rows):
    def points(experiment, case, key):
        return [(row["nodes"], row[key]) for row in rows
                if row["experiment"] == experiment and row["case"] == case]
    images = {}
    if points("convergence", "seen_in_state_dumps", "max_s"):
        images["convergence"] = draw_plot(
            "convergence", "Time until in force on all nodes", "nodes", "s",
            {f"{case}, {key}": points("convergence", case, key) for key in ["median_s", "max_s"]
             for case in ["reported_by_apply_wait", "seen_in_state_dumps"]}, True)
    if points("control_cost", "idle", "udp_bytes_per_s"):
        images["control_cost"] = draw_plot(
            "control_bytes", "UDP bytes per node and second, in and out", "nodes", "bytes/s",
            {f"{case}, {kind}": points("control_cost", case, key) for case in ["joining", "idle"]
             for kind, key in [("mean", "udp_bytes_per_s"), ("max", "udp_bytes_per_s_max")]}, True)
    latency = [row for row in rows if row["experiment"] == "added_latency"]
    if latency:
        images["added_latency"] = draw_plot(
            "added_latency", "Latency by number of hops, 500 calls/s", "hops", "us",
            {key: [(hops, row[key]) for hops, row in enumerate(latency)] for key in ["p50_us", "p99_us"]})
    return images


def main():
    with open(sys.argv[1], encoding="utf-8") as file:
        rows = [json.loads(line) for line in file if line.strip()]
    os.makedirs(os.path.join(DOCS, "plots"), exist_ok=True)
    images = draw_plots(rows)
    parts = ["# Experiments", "",
             "Produced by `bench/report.sh FILE` from the lines of `bench/run.sh build`; seeds: "
             + ", ".join(sorted({str(row["seed"]) for row in rows})) + ". All processes run on one shared "
             "machine over loopback, so times include the load of other programs. Variant `ours` only; "
             "a naive variant was not made. Rows named `..._fit_...` give the least-squares line over the "
             "four sizes and its value at 880 nodes. Round n of the latency cases uses the seed plus n; "
             "added_ figures are medians over the rounds of the difference to the direct case."]
    for experiment, title in TITLES.items():
        chosen = [row for row in rows if row["experiment"] == experiment]
        if not chosen:
            parts += ["", f"## {title}", "", "Not run."]
            continue
        fits = [row for row in chosen if "_fit_" in row["case"]]
        parts += ["", f"## {title}", "", markdown_table([row for row in chosen if row not in fits])]
        parts += ["", markdown_table(fits)] if fits else []
        parts += ["", images[experiment]] if experiment in images else []
    with open(os.path.join(DOCS, "bench-report.md"), "w", encoding="utf-8") as file:
        file.write("\n".join(parts) + "\n")


if __name__ == "__main__":
    main()
