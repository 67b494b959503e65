/** Writes docs/BENCHMARKS.md and its plots from the JSON lines that benchmarks print. */
import { mkdir, writeFile } from "node:fs/promises";
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";

/** A figure as `formatFigure` prints it; `value` is null for NaN and infinity. */
export interface FigureLine {
    readonly bench: string;
    readonly figure: string;
    readonly value: number | null;
    readonly unit: string;
    readonly bound: string | null;
    readonly baseline: number | null;
    readonly holds: boolean;
}

/** A bar chart of all figures of one benchmark that have the given unit, next to their baselines. */
interface PlotDescription {
    readonly file: string;
    readonly bench: string;
    readonly unit: string;
    readonly title: string;
}

const plots: readonly PlotDescription[] = [
    {
        file: "throughput.svg",
        bench: "throughput",
        unit: "of the bound",
        title: "Tokens done beside the maximum-flow bound",
    },
    { file: "recovery.svg", bench: "recovery", unit: "ms", title: "From the fault to the caller's next token" },
    { file: "configuration.svg", bench: "configuration", unit: "ms", title: "From the push to in force everywhere" },
    { file: "membership.svg", bench: "membership", unit: "B/s", title: "Bytes a second for membership, by routers" },
];
const plotWidthPixels = 560;
const significantDigits = 4;

/** Parses the figures in the output of benchmarks; other lines are ignored. */
export function parseFigureLines(text: string): FigureLine[] {
    return text.split("\n").filter(line => line.startsWith('{"bench"')).map(line => JSON.parse(line) as FigureLine);
}

/** Writes docs/BENCHMARKS.md and its plots, relative to the working directory. */
export async function writeReport(lines: readonly FigureLine[], machine: string): Promise<void> {
    const plotLinks: string[] = [];
    await mkdir("docs/plots", { recursive: true });
    for (const plot of plots) {
        const figures = lines.filter(line =>
            line.bench === plot.bench && line.unit === plot.unit && line.value !== null
        );
        if (figures.length > 0) {
            await writeFile(`docs/plots/${plot.file}`, await renderPlot(plot, figures));
            plotLinks.push(`![${plot.title}](plots/${plot.file})`);
        }
    }
    await writeFile("docs/BENCHMARKS.md", renderPage(lines, machine, plotLinks));
}

function renderPage(lines: readonly FigureLine[], machine: string, plotLinks: readonly string[]): string {
    return [
        "# Benchmarks",
        "",
        "Written by `npm run bench` from the lines that each benchmark prints; `npm run bench -- NAME` runs one. Bounds come",
        "from stated targets. The baseline was measured in the same run. What does not hold is listed in KNOWN-RED.txt.",
        "",
        `Measured on ${machine}.`,
        "",
        "| bench | figure | value | unit | bound | baseline | holds |",
        "| --- | --- | --- | --- | --- | --- | --- |",
        ...lines.map(renderRow),
        "",
        ...plotLinks.flatMap(image => [image, ""]),
    ].join("\n");
}

function renderRow(line: FigureLine): string {
    const cells = [
        line.bench,
        line.figure,
        formatNumber(line.value),
        line.unit,
        line.bound ?? "",
        line.baseline === null ? "" : formatNumber(line.baseline),
        line.holds ? "yes" : "**no**",
    ];
    return `| ${cells.join(" | ")} |`;
}

function formatNumber(value: number | null): string {
    return value === null ? "not measured" : String(Number(value.toPrecision(significantDigits)));
}

async function renderPlot(plot: PlotDescription, figures: readonly FigureLine[]): Promise<string> {
    const values = figures.flatMap(line => [
        { figure: line.figure, series: "pomelostall", value: line.value },
        ...(line.baseline === null ? [] : [{ figure: line.figure, series: "baseline", value: line.baseline }]),
    ]);
    const specification: TopLevelSpec = {
        title: plot.title,
        width: plotWidthPixels,
        background: "white",
        data: { values },
        mark: "bar",
        encoding: {
            y: { field: "figure", type: "nominal", title: null, sort: null, axis: { labelLimit: plotWidthPixels } },
            yOffset: { field: "series" },
            x: { field: "value", type: "quantitative", title: plot.unit },
            color: { field: "series", type: "nominal", title: null, sort: ["pomelostall", "baseline"] },
        },
    };
    return new View(parse(compile(specification).spec), { renderer: "none" }).toSVG();
}
