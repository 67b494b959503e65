// BUDGET: one part of a prompt crashes each replica that begins to write an answer on it, before the first byte is sent.
// CRASH=head: the replica has sent the head of its answer before. CRASH=events: it has sent the head and three events.
import { grade, runCase, trouble } from "../support/case.mjs";
import { bounds, CannotRunError } from "../support/deployment.mjs";
import { delay, EngineReplica, PlainReplica } from "../support/replicas.mjs";

const sendsHead = process.env.CRASH === "head" || process.env.CRASH === "events";
const eventsBeforeCrash = process.env.CRASH === "events" ? 3 : 0;
const defectivePart = "bad0";
const engineCount = 8;
const awayMilliseconds = 3_000;
const prefillMilliseconds = 60;
const defectiveIntervalMilliseconds = 1_500;
const soundClients = 3;
const playedMilliseconds = 30_000;
/** What the rule allows later than `contact_ms` after the fifth crash. */
const allowedArrivals = 3;

/** Requests with the defective part that reached a replica, in order. */
const arrivals = [];
const crashes = [];

/** Restarts empty, under a new ID and at a new address, some seconds after each crash. */
class CrashingEngine extends EngineReplica {
    #starts = 1;

    async stream(request, response) {
        const parts = request.headers["x-prompt-prefix"].split(",").map(part => part.split(":")[0]);
        const defective = parts.slice(0, -1).includes(defectivePart);
        if (defective) {
            arrivals.push({ at: Date.now(), id: request.headers["x-attempt-id"], replica: this.id });
        }
        await delay(prefillMilliseconds);
        if (response.destroyed) {
            return;
        }
        if (!defective || !trouble) {
            await super.stream(request, response);
            return;
        }
        await this.writeBeforeCrash(request, response);
        crashes.push({ at: Date.now(), replica: this.id });
        this.crash();
        setTimeout(() => void this.restart(), awayMilliseconds);
    }

    async writeBeforeCrash(request, response) {
        if (sendsHead) {
            this.writeHead(request, response);
            response.flushHeaders();
            await delay(5);
        }
        const first = Number(request.headers["last-event-id"] ?? -1) + 1;
        for (let id = first; id < first + eventsBeforeCrash; id++) {
            response.write(`id: ${id}\ndata: token ${id}\n\n`);
            await delay(this.gapMilliseconds);
        }
    }

    async restart() {
        this.id = `${this.id.split(".")[0]}.${++this.#starts}`;
        this.born = Date.now();
        this.layers = undefined;
        this.orders = 0;
        await this.start();
    }
}

await runCase(async test => {
    const { store, lines } = test;
    const engines = Array.from(
        { length: engineCount },
        (_, index) => new CrashingEngine(`engine-${index + 1}`, "pool", `zone-${index % 2 + 1}`, store),
    );
    await test.start([...engines, new PlainReplica("app-1", "app", "zone-1", store, 20)], 2);
    await delay(1_000);
    let requests = 0;
    const send = (client, router, part) => {
        const number = ++requests;
        return grade(client, router, [`a${number % 4}`, part, `f${number.toString(16)}`]);
    };
    for (const router of test.routers) {
        test.sendInLoops(soundClients, router, (client, target) => send(client, target, `c${requests % 3}`), 20);
    }
    const defective = [];
    const end = Date.now() + playedMilliseconds;
    for (let turn = 0; Date.now() < end; turn++) {
        defective.push(send(test.newClient(), test.routers[turn % 2], defectivePart));
        await delay(defectiveIntervalMilliseconds);
    }
    await test.endTraffic();
    lines.push(`sound streams: ${test.results.length} sent, ${test.served.length} served whole`);
    test.expectServed(50);
    const defectiveResults = await Promise.all(defective);
    test.results.push(...defectiveResults);
    if (arrivals.length < 3) {
        throw new CannotRunError(`only ${arrivals.length} requests with the defective part reached a replica`);
    }

    lines.push(
        `streams with the defective part: ${defective.length} sent, ${arrivals.length} arrivals at replicas, `
            + `${defectiveResults.filter(({ status }) => status === 503).length} refused with 503`,
    );
    const fifth = crashes[4]?.at ?? Infinity;
    const late = arrivals.filter(({ at }) => at > fifth + bounds.contact_ms);
    lines.push(`crashes: ${crashes.length}; arrivals later than contact_ms after the fifth: ${late.length}`);
    test.events.push(
        ...[
            ...arrivals.map(({ at, id, replica }) => ({ at, text: `${replica} got defective ${id}` })),
            ...crashes.map(({ at, replica }) => ({ at, text: `${replica} crashed` })),
        ].sort((left, right) => left.at - right.at).map(({ at, text }) => `${at} ${text}`),
    );
    return late.length > allowedArrivals;
});
