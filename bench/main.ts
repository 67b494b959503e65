/** Runs benchmarks: `npm run bench -- NAME` one of them, `npm run bench` all. */
import { readdir } from "node:fs/promises";
import type { Benchmark } from "./figures.js";
import { formatFigure, holds } from "./figures.js";

const suffix = ".bench.js";

async function loadBenchmarks(): Promise<Benchmark[]> {
    const directory = new URL(".", import.meta.url);
    const files = (await readdir(directory)).filter(file => file.endsWith(suffix)).sort();
    const modules = await Promise.all(
        files.map(file => import(new URL(file, directory).href) as Promise<{ benchmark: Benchmark; }>),
    );
    return modules.map(module => module.benchmark);
}

async function main(names: readonly string[]): Promise<number> {
    const benchmarks = await loadBenchmarks();
    const unknown = names.filter(name => !benchmarks.some(benchmark => benchmark.name === name));
    if (unknown.length > 0) {
        process.stderr.write(
            `unknown benchmark: ${unknown.join(", ")}; known: ${
                benchmarks.map(benchmark => benchmark.name).join(", ")
            }\n`,
        );
        return 2;
    }
    let allHold = true;
    for (const benchmark of benchmarks.filter(each => names.length === 0 || names.includes(each.name))) {
        for (const figure of await benchmark.run()) {
            process.stdout.write(`${formatFigure(figure)}\n`);
            allHold &&= holds(figure);
        }
    }
    return allHold ? 0 : 1;
}

process.exit(await main(process.argv.slice(2)));
