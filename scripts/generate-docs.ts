/**
 * Writes the pages that are made from code, or with --check tells which are not current. Also checks that
 * docs/METRICS.md names every metric of the source.
 */
import { readdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { listErrorDefinitions } from "../src/errors/index.js";
import { renderSettingsReference } from "../src/process/settings/describe-settings.js";
import { describeSheet } from "../src/version/sheet/index.js";

interface GeneratedPage {
    readonly file: string;
    render(): string;
}

const pages: readonly GeneratedPage[] = [
    { file: "docs/SETTINGS.md", render: renderSettingsReference },
    { file: "docs/SHEET.md", render: describeSheet },
    { file: "docs/ERRORS.md", render: describeErrors },
];

const metricPattern = /"(pomelostall\.[a-z_.]+)"/g;

function describeErrors(): string {
    const sections = listErrorDefinitions().map(definition =>
        [
            `## ${definition.code}`,
            "",
            `${definition.title}.${
                definition.status === undefined ? "" : ` Callers and operators see HTTP status ${definition.status}.`
            }`,
            "",
            definition.hint,
            "",
        ].join("\n")
    );
    return [
        "# Errors",
        "",
        "Made from src/errors by `npm run docs:generate`. Every failure has one of these codes; towards callers it comes in",
        "the JSON shape that docs/API.md describes, with the outcome `not-run`, `failed` or `unknown`.",
        "",
        ...sections,
    ].join("\n");
}

async function isCurrent(page: GeneratedPage): Promise<boolean> {
    const present = await readFile(page.file, "utf8").catch(() => "");
    return present === page.render();
}

async function undocumentedMetrics(): Promise<string[]> {
    const documented = await readFile("docs/METRICS.md", "utf8");
    const files = (await readdir("src", { recursive: true })).filter(file => file.endsWith(".ts"));
    const names = new Set<string>();
    for (const file of files) {
        const source = await readFile(join("src", file), "utf8");
        for (const [, name] of source.matchAll(metricPattern)) {
            names.add(name!);
        }
    }
    return [...names].filter(name => !documented.includes(`\`${name}\``)).sort();
}

async function check(): Promise<number> {
    const faults: string[] = [];
    for (const page of pages) {
        if (!await isCurrent(page)) {
            faults.push(`${page.file} is not current; run npm run docs:generate`);
        }
    }
    faults.push(...(await undocumentedMetrics()).map(name => `docs/METRICS.md does not name ${name}`));
    faults.forEach(fault => process.stderr.write(`${fault}\n`));
    return faults.length === 0 ? 0 : 1;
}

async function generate(): Promise<number> {
    for (const page of pages) {
        await writeFile(page.file, page.render());
    }
    return 0;
}

process.exitCode = process.argv.includes("--check") ? await check() : await generate();
