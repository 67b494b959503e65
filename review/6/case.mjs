/**
 * One of seven model engines answers with bytes that are no events, without end, in a body whose chunks hold a byte each. The
 * case counts the plain requests, which run on other servers, that have no answer half a second after their route's timeout.
 */
import { monitorEventLoopDelay } from "node:perf_hooks";
import { runCase, trouble } from "../support-2/case.mjs";
import { countBy, sendSteadily } from "../support-2/client.mjs";
import { configuration } from "../support-2/configuration.mjs";
import { AppServer, Engine, sleep } from "../support-2/servers.mjs";

const timeoutMilliseconds = 800;
const lateMilliseconds = 500;
/** Of RULES.md, CONFIG. */
const minimumLate = 8;
const minimumLateShare = 1 / 4;

const maximumOwnDelayMilliseconds = 250;

const beforeMilliseconds = 4_000;
const troubleMilliseconds = 6_500;
const streamsPerSecond = 14;
const plainPerSecond = 6;

class BabblingEngine extends Engine {
    babbles = false;

    async run(request, response, proof, run) {
        if (!this.babbles) {
            return super.run(request, response, proof, run);
        }
        await sleep(this.firstEventMilliseconds);
        const { socket } = request;
        const block = Buffer.from("1\r\nx\r\n".repeat(10_000));
        const babble = () => {
            let mayWrite = true;
            while (mayWrite && !socket.destroyed) {
                mayWrite = socket.write(block);
            }
        };
        socket.on("error", () => run.end = "reset by the caller");
        socket.on("drain", babble);
        const head = ["HTTP/1.1 200 OK", ...Object.entries(proof).map(([name, value]) => `${name}: ${value}`)];
        socket.write([...head, "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""].join("\r\n"));
        babble();
    }
}

await runCase(import.meta.url, async (deployment, write) => {
    const apps = ["kano-a", "kano-b", "kaduna-c"].map(zone =>
        new AppServer(deployment.store, { service: "app", zone, slots: 6 })
    );
    const engines = Array.from(
        { length: 7 },
        () => new BabblingEngine(deployment.store, { service: "pool", zone: "kano-a", slots: 134 }),
    );
    await deployment.addServers([...apps, ...engines]);
    deployment.publish(configuration(7));
    const [router] = await deployment.startRouters([["edge-kano-a-1", "kano-a"]]);
    const routerOf = () => router;
    // The stand-ins share this process; a delay of their own would say nothing about the router.
    const ownDelay = monitorEventLoopDelay({ resolution: 10 });
    ownDelay.enable();
    const sent = [
        sendSteadily(routerOf, "stream", streamsPerSecond, beforeMilliseconds + troubleMilliseconds),
        sendSteadily(routerOf, "look", plainPerSecond / 2, beforeMilliseconds + troubleMilliseconds),
        sendSteadily(routerOf, "book", plainPerSecond / 2, beforeMilliseconds + troubleMilliseconds),
    ];
    await sleep(beforeMilliseconds);
    // Routers keep some engines in reserve, which get few requests.
    const [babbling] = engines.toSorted((left, right) => right.runs.length - left.runs.length);
    babbling.babbles = trouble;
    write(trouble ? `${babbling.id} babbles from now on` : "no disruption");
    await sleep(troubleMilliseconds);
    babbling.babbles = false;
    write("no server babbles any more");
    const results = (await Promise.all(sent)).flat();
    results.sort((left, right) => left.sentAt - right.sentAt);
    results.forEach(({ kind, id, sentAt, endedAt, status, complete, error }) =>
        write(
            `${kind} ${id} sent at ${(sentAt / 1_000).toFixed(3)}, ${status ?? error}${
                complete ? "" : ", incomplete"
            } after `
                + `${Math.round(endedAt - sentAt)} ms`,
        )
    );
    [...apps, ...engines].forEach(({ id, service, runs }) =>
        write(`${service} ${id}: ${runs.length} runs, ${JSON.stringify(countBy(runs, ({ end }) => end))}`)
    );
    const plain = results.filter(({ kind }) => kind !== "stream");
    const long = plain.filter(({ sentAt, endedAt }) => endedAt - sentAt > timeoutMilliseconds);
    const late = long.filter(({ sentAt, endedAt }) => endedAt - sentAt > timeoutMilliseconds + lateMilliseconds);
    const longest = Math.max(...plain.map(({ sentAt, endedAt }) => endedAt - sentAt));
    write(`plain requests: ${plain.length}, ${JSON.stringify(countBy(plain, ({ status, error }) => status ?? error))}`);
    write(`longer than their route's timeout: ${long.length}, half a second later without an answer: ${late.length}`);
    write(`longest time to an answer: ${Math.round(longest)} ms`);
    const ownDelayMilliseconds = ownDelay.max / 1e6;
    write(`longest delay of the stand-ins' own event loop: ${Math.round(ownDelayMilliseconds)} ms`);
    if (ownDelayMilliseconds > maximumOwnDelayMilliseconds) {
        throw new Error("the stand-ins were delayed themselves");
    }
    return late.length >= minimumLate && late.length > long.length * minimumLateShare;
});
