/** A part that crashes engines is far back in prompts of many parts, and comes in less than a request a second. */
import { runCase } from "../support-2/case.mjs";
import { sendCrashingPrompts } from "../support-2/crashing-prompts.mjs";

/** Another position shows that the case is about the part's place. */
const partsBefore = Number(process.env.PARTS_BEFORE ?? 36);

await runCase(import.meta.url, (deployment, write) =>
    sendCrashingPrompts(deployment, write, {
        engineCount: 9,
        partsBefore,
        partsAfter: 3,
        faultyPerSecond: 0.7,
        faultyMilliseconds: 35_000,
    }));
