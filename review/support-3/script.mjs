/** Runs the script of a case: writes `record.txt` beside it, and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const longestRunMilliseconds = 110_000;
const entriesOfLine = 6;

export class Record {
    #lines = [];
    #startedAt = performance.now();

    /** Milliseconds since the start of the script. */
    get now() {
        return performance.now() - this.#startedAt;
    }

    write(text) {
        this.#lines.push(`${(this.now / 1_000).toFixed(3).padStart(8)} s  ${text}`);
    }

    /** Writes short entries, several a line. */
    list(title, entries) {
        this.write(title);
        for (let index = 0; index < entries.length; index += entriesOfLine) {
            this.#lines.push(`            ${entries.slice(index, index + entriesOfLine).join("  ")}`);
        }
    }

    get text() {
        return `${this.#lines.join("\n")}\n`;
    }
}

/** `play` gets the record and a list of clean-up functions to add to; it returns whether the rule was broken. */
export async function runCase(moduleUrl, play) {
    const record = new Record();
    const cleanUps = [];
    const finish = async code => {
        for (const cleanUp of cleanUps.reverse()) {
            await cleanUp();
        }
        const verdict = ["the rule held", "the rule was broken", "the case could not run"][code];
        record.write(verdict);
        writeFileSync(fileURLToPath(new URL("./record.txt", moduleUrl)), record.text);
        console.log(`${record.text.trim().split("\n").slice(-8).join("\n")}`);
        process.exit(code);
    };
    setTimeout(() => {
        record.write("the script took too long");
        void finish(2);
    }, longestRunMilliseconds);
    for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
        process.on(signal, () => void finish(2));
    }
    try {
        record.write(process.env.TROUBLE === "0" ? "without the disruption" : "with the disruption");
        await finish(await play(record, cleanUps) ? 1 : 0);
    }
    catch (error) {
        record.write(`failed: ${error.stack}`);
        await finish(2);
    }
}

export const hasTrouble = process.env.TROUBLE !== "0";
