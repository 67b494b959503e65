/**
 * Sound engines fall silent for 1.2 s now and then and go on. The case counts the streams that ran on more engines than their
 * route's `max_attempts`: a run counts once the engine has made the first token, and engines that end or are cut off there are none.
 */
import { runCase, trouble } from "../support-2/case.mjs";
import { countBy, sendSteadily } from "../support-2/client.mjs";
import { configuration } from "../support-2/configuration.mjs";
import { Engine, sleep } from "../support-2/servers.mjs";

const maximumAttempts = 2;
/** Of RULES.md, BUDGET. */
const allowedRequests = 3;

const engineCount = 8;
const silenceMilliseconds = 1_200;
const silenceIntervalMilliseconds = 6_000;
const streamsPerSecond = 10;
const runMilliseconds = 30_000;

/** Makes tokens all the time, and sends nothing in its silences. */
class PausingEngine extends Engine {
    /** Of the silences, within the interval. */
    offsetMilliseconds = 0;

    async waitForEndOfSilence() {
        const intoInterval = (performance.now() + this.offsetMilliseconds) % silenceIntervalMilliseconds;
        if (trouble && intoInterval < silenceMilliseconds) {
            await sleep(silenceMilliseconds - intoInterval);
        }
    }

    async run(request, response, proof, run) {
        await sleep(this.firstEventMilliseconds);
        if (response.destroyed) {
            return;
        }
        run.firstTokenAt = performance.now();
        await this.waitForEndOfSilence();
        if (!response.destroyed) {
            response.writeHead(200, { ...proof, "Content-Type": "text/event-stream", "X-Weight-Versions": "1" });
        }
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let id = first; id <= this.events && !response.destroyed; id++) {
            response.write(`id: ${id}\ndata: token ${id}\n\n`);
            await sleep(this.eventMilliseconds);
            await this.waitForEndOfSilence();
        }
        response.end();
    }
}

await runCase(import.meta.url, async (deployment, write) => {
    const engines = Array.from({ length: engineCount }, (_value, index) => {
        const engine = new PausingEngine(deployment.store, { service: "pool", zone: "kano-a", slots: 134 });
        engine.offsetMilliseconds = index * silenceIntervalMilliseconds / engineCount;
        return engine;
    });
    await deployment.addServers(engines);
    deployment.publish(configuration(7));
    const [router] = await deployment.startRouters([["edge-kano-a-1", "kano-a"]]);
    const results = await sendSteadily(() => router, "stream", streamsPerSecond, runMilliseconds);
    const runs = engines.flatMap(engine => engine.runs).filter(({ firstTokenAt }) => firstTokenAt !== undefined);
    let exceeding = 0;
    for (const { id, sentAt, endedAt, status, complete, error } of results) {
        const own = runs.filter(run => run.id === id).sort((left, right) => left.beganAt - right.beganAt);
        const servers = new Set(own.map(({ server }) => server));
        exceeding += servers.size > maximumAttempts ? 1 : 0;
        const described = own.map(({ server, beganAt, firstTokenAt, endedAt: closedAt, end }) =>
            `${server} reached after ${Math.round(beganAt - sentAt)} ms, first token after `
            + `${Math.round(firstTokenAt - sentAt)} ms, ${end} after ${Math.round((closedAt ?? NaN) - sentAt)} ms`
        );
        write(
            `stream ${id} sent at ${(sentAt / 1_000).toFixed(3)}, ${status ?? error}${
                complete ? "" : ", incomplete"
            } after `
                + `${Math.round(endedAt - sentAt)} ms; ${servers.size} engines ran it: ${described.join("; ")}`,
        );
    }
    const sizes = countBy(
        results,
        ({ id }) => new Set(runs.filter(run => run.id === id).map(({ server }) => server)).size,
    );
    write(`streams: ${JSON.stringify(countBy(results, ({ status, error }) => status ?? error))}`);
    write(`streams by the number of engines that ran them: ${JSON.stringify(sizes)}`);
    write(`streams that ran on more than ${maximumAttempts} engines: ${exceeding}`);
    return exceeding > allowedRequests;
});
