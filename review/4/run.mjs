// REFUSED: one replica of a booking service of three runs part of its bookings and then fails them with 503, without the
// header that says that a request has not run. Clients repeat a booking once after a promise that it has not run.
import { book, runCase, trouble } from "../support/case.mjs";
import { delay, EngineReplica, PlainReplica } from "../support/replicas.mjs";

/** Doses of `srv_grey` in the kinds of the site: one of seven replicas, 4 in 10 of its answers, for 5 s. */
const failedShare = 0.4;
const troubleMilliseconds = 5_000;
const clientsPerRouter = 6;
const promises = new Set([408, 421, 429, 503]);

class GreyReplica extends PlainReplica {
    faulty = false;
    failed = 0;
    /** Answers while the replica was faulty, failed ones included. */
    answers = 0;

    async run(request, body, response) {
        this.answers += this.faulty ? 1 : 0;
        if (!this.faulty || Math.floor(this.answers * failedShare) === Math.floor((this.answers - 1) * failedShare)) {
            await super.run(request, body, response);
            return;
        }
        this.failed++;
        this.runs.push({ id: request.headers["x-attempt-id"], at: Date.now() });
        await delay(this.workMilliseconds);
        const text = "booked, but the confirmation could not be printed";
        response.writeHead(503, { ...this.answerHeaders(request), "Content-Length": text.length }).end(text);
    }
}

await runCase(async test => {
    const { store, lines, results } = test;
    const grey = new GreyReplica("app-1", "app", "zone-1", store, 45);
    const sound = [2, 3].map(number => new PlainReplica(`app-${number}`, "app", `zone-${number - 1}`, store, 45));
    const engines = [1, 2, 3, 4].map(number =>
        new EngineReplica(`engine-${number}`, "pool", `zone-${number % 2 + 1}`, store)
    );
    await test.start([grey, ...sound, ...engines], 2);
    let dockets = 0;
    const bookWithRetry = async (client, router) => {
        const docket = ++dockets;
        const first = { ...await book(client, router, { docket }), docket };
        if (!promises.has(first.status)) {
            return first;
        }
        results.push(first);
        await delay(Number(first.headers["retry-after"] ?? 0) * 1_000);
        return { ...await book(client, router, { docket }), docket };
    };
    for (const router of test.routers) {
        test.sendInLoops(clientsPerRouter, router, bookWithRetry, 20);
    }
    await delay(2_000);
    grey.faulty = trouble;
    await delay(troubleMilliseconds);
    grey.faulty = false;
    await delay(2_000);
    await test.endTraffic();

    const { runs } = test;
    const refused = results.filter(({ id, status }) => promises.has(status) && runs.has(id));
    const runsByDocket = new Map();
    results.filter(({ id }) => runs.has(id)).forEach(({ docket }) =>
        runsByDocket.set(docket, (runsByDocket.get(docket) ?? 0) + 1)
    );
    const twice = [...runsByDocket.values()].filter(count => count > 1).length;
    lines.push(
        `${results.length} bookings sent, ${test.served.length} served; ${grey.failed} of ${grey.answers} answers of one of `
            + `${test.replicas.length} replicas run and failed`,
    );
    lines.push(
        `${refused.length} were answered with 408, 421, 429 or 503 and had run; ${twice} dockets were booked twice, because `
            + "the client came back after that promise",
    );
    test.events.push(
        ...refused.map(({ id, docket, status, headers }) =>
            `${id} docket ${docket} ran at ${runs.get(id)}, answered ${status}, seal ${headers["x-replica-seal"]}`
        ),
    );
    test.expectServed(200);
    return refused.length > 0;
});
