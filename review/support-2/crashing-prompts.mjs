/**
 * A part of prompts that crashes each engine which begins to write an answer on it, beside sound requests with the same other
 * parts, at three routers in turn. Counts the requests with the part that reach engines after the fifth crash and `contact_ms`.
 */
import { randomBytes } from "node:crypto";
import { trouble } from "./case.mjs";
import { countBy, sendSteadily } from "./client.mjs";
import { configuration } from "./configuration.mjs";
import { Engine, host, sleep } from "./servers.mjs";

const contactMilliseconds = 3_000;
/** Of the rule on such parts, BUDGET. */
const allowedRequests = 3;
const crashesUntilKnown = 5;
/** Longer than a request takes from a router to an engine: the rule goes by the time at which it is sent. */
const longestWayMilliseconds = 300;

const zones = ["kano-a", "kano-b", "kaduna-c"];
const restartMilliseconds = 3_000;
const removalMilliseconds = 3_600;
const soundPerSecond = 10;
const beforeMilliseconds = 10_000;

class CrashingEngine extends Engine {
    constructor(store, fields, faultyPart, crashed) {
        super(store, fields);
        this.faultyPart = faultyPart;
        this.crashed = crashed;
    }

    async run(request, response, proof, run) {
        run.isFaulty = String(request.headers["x-prompt-prefix"]).split(",").includes(this.faultyPart);
        if (!trouble || !run.isFaulty) {
            return super.run(request, response, proof, run);
        }
        await sleep(this.firstEventMilliseconds);
        response.writeHead(200, { ...proof, "Content-Type": "text/event-stream", "X-Weight-Versions": "1" });
        response.flushHeaders();
        await sleep(5);
        this.crash();
    }

    /** Resets all connections, and starts again some seconds later with another ID and address. */
    crash() {
        if (!this.server.listening) {
            return;
        }
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
        this.crashed(this.id);
        const { id } = this;
        setTimeout(() => this.store.delete(`servers/${id}`), removalMilliseconds);
        setTimeout(() => this.restart(), restartMilliseconds);
    }

    sockets = new Set();

    async start() {
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        await super.start();
    }

    /** At another address: the old port may serve an outgoing connection meanwhile. */
    restart() {
        this.id = `i-${randomBytes(5).toString("hex")}`;
        this.born = Date.now();
        this.server.listen(0, host, () => {
            this.address = `${host}:${this.server.address().port}`;
            this.register();
        });
    }
}

/** Returns whether more requests with the part reached engines than the rule allows. */
export async function sendCrashingPrompts(deployment, write, options) {
    const { engineCount, partsBefore, partsAfter, faultyPerSecond, faultyMilliseconds } = options;
    const part = () => `${randomBytes(4).toString("hex")}:20`;
    const faultyPart = part();
    const partsInFront = Array.from({ length: partsBefore }, part);
    const partsBehind = Array.from({ length: partsAfter }, part);
    const soundPrompt = () => [...partsInFront, ...partsBehind, part()].join(",");
    const faultyPrompt = () => [...partsInFront, faultyPart, ...partsBehind, part()].join(",");
    const crashes = [];
    const engines = Array.from({ length: engineCount }, (_value, index) => {
        const fields = { service: "pool", zone: zones[index % zones.length], slots: 134 };
        return new CrashingEngine(deployment.store, fields, faultyPart, id => {
            crashes.push(performance.now());
            write(`crash ${crashes.length}: ${id}`);
        });
    });
    await deployment.addServers(engines);
    deployment.publish(configuration(7));
    const routers = await deployment.startRouters(zones.map(zone => [`edge-${zone}-1`, zone]));
    let next = 0;
    const routerOf = () => routers[next++ % routers.length];
    const sendPrompts = (perSecond, milliseconds, prompt) =>
        sendSteadily(routerOf, "stream", perSecond, milliseconds, () => ({ "X-Prompt-Prefix": prompt() }));
    const sound = sendPrompts(soundPerSecond, beforeMilliseconds + faultyMilliseconds, soundPrompt);
    await sleep(beforeMilliseconds);
    const faulty = await sendPrompts(faultyPerSecond, faultyMilliseconds, faultyPrompt);
    const soundResults = await sound;
    const runs = engines.flatMap(engine => engine.runs);
    const seconds = time => (time / 1_000).toFixed(3);
    for (const { id, router, sentAt, endedAt, status, complete, error } of faulty) {
        const reached = runs.filter(run => run.id === id)
            .map(({ server, beganAt }) => `${server} at ${seconds(beganAt)}`);
        write(
            `faulty ${id} to ${router} sent at ${seconds(sentAt)}, ${status ?? error}${
                complete ? "" : ", incomplete"
            } after `
                + `${Math.round(endedAt - sentAt)} ms; reached ${reached.join(", ") || "no engine"}`,
        );
    }
    const answers = results =>
        JSON.stringify(
            countBy(results, ({ status, complete, error }) => `${status ?? error}${complete ? "" : " incomplete"}`),
        );
    const knownAt = (crashes[crashesUntilKnown - 1] ?? Infinity) + contactMilliseconds;
    const late = runs.filter(({ isFaulty, beganAt }) => isFaulty && beganAt > knownAt + longestWayMilliseconds);
    write(`sound requests: ${answers(soundResults)}; requests with the part: ${answers(faulty)}`);
    write(`crashes: ${crashes.length}; requests with the part that reached engines too late: ${late.length}`);
    return late.length > allowedRequests;
}
