/**
 * One engine of twelve answers streams with bytes without end, which look like events but have no IDs. Lookups at a plain service
 * go on beside the streams.
 */
import { fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { Caller } from "../support-3/callers.mjs";
import { configuration, layerCount, layersThatFit, loadSeconds } from "../support-3/configuration.mjs";
import { bounds, Deployment, pause } from "../support-3/deployment.mjs";
import { EngineFleet } from "../support-3/engines.mjs";
import { Replica } from "../support-3/replica.mjs";
import { hasTrouble, runCase } from "../support-3/script.mjs";

const streamProgram = fileURLToPath(new URL("../support-3/streams.mjs", import.meta.url));
const zones = ["north", "middle", "south"];
const enginesOfZone = 4;
/** At each router; all of saltline's streams together, 43 a second. */
const streamsPerSecond = 14.4;
const lookupsAtOnce = 5;
const calmMilliseconds = 4_000;
const troubleMilliseconds = 30_000;
const poured = "data: x\n\n";
const routeTimeoutMilliseconds = 800;
/** After the route's timeout. */
const lateMilliseconds = 500;
const callerTimeoutMilliseconds = 1_500;
/** Events without ID in one answer; the replicas' own have one each. */
const fewestEvents = 1_000;

await runCase(import.meta.url, async (record, cleanUps) => {
    const deployment = new Deployment();
    cleanUps.push(() => deployment.stop());
    const { store } = deployment;
    let pouredStreams = 0;
    const fleet = new EngineFleet(
        store,
        "pool",
        {
            layerCount,
            maximumLayers: layersThatFit,
            loadMilliseconds: loadSeconds * 1_000,
            stallMilliseconds: bounds.stall_ms,
            eventMilliseconds: 30,
            events: 12,
        },
        3_000,
        ({ kind, engine, requestId, layers }) => {
            if (kind === "poured") {
                pouredStreams++;
                record.write(`${engine} pours bytes for ${requestId}`);
            }
            if (kind === "layers") {
                record.write(`${engine} holds layers ${layers.from} to ${layers.target - 1}`);
            }
        },
    );
    cleanUps.push(() => fleet.stop());
    const replicas = [];
    store.put("op/config", configuration(1));
    for (const zone of zones) {
        await deployment.addRouter(`edge-${zone}`, zone);
        for (let number = 1; number <= enginesOfZone; number++) {
            await fleet.add(`engine-${zone}-${number}`, zone, "l4");
        }
        const replica = new Replica(`app-${zone}`, "app", zone);
        await replica.start();
        cleanUps.push(() => replica.stop());
        replicas.push(replica);
        store.put(`servers/${replica.id}`, replica.entry());
    }
    fleet.start();
    deployment.start();
    await deployment.waitUntilReady(30_000);
    await pause(4_000);
    record.write("all routers are ready");

    const streams = [];
    for (const router of deployment.routers) {
        const callers = fork(streamProgram, [JSON.stringify({
            ...router.callers,
            perSecond: streamsPerSecond,
            name: `${router.name}-`,
        })]);
        cleanUps.push(() => callers.kill("SIGKILL"));
        callers.on("message", message => streams.push({ endedAt: record.now, ...message }));
    }
    const lookups = [];
    let running = true;
    const callers = deployment.routers.flatMap(router =>
        Array.from({ length: lookupsAtOnce }, async () => {
            while (running) {
                const caller = new Caller(router);
                const startedAt = record.now;
                const answer = caller.send("GET", "/look/1", { "X-Deadline-Ms": String(callerTimeoutMilliseconds) });
                const patience = pause(callerTimeoutMilliseconds).then(() => ({ status: "none" }));
                const { status } = await Promise.race([answer, patience]);
                lookups.push({ router: router.name, startedAt, status, milliseconds: record.now - startedAt });
                caller.stop();
                await pause(300);
            }
        })
    );
    await pause(calmMilliseconds);
    if (hasTrouble) {
        const engine = fleet.engines.find(({ layers }) => layers?.from === 0);
        engine.turn({ poured });
        record.write(`${engine.name} answers streams with ${JSON.stringify(poured)} without end from now on`);
    }
    await pause(troubleMilliseconds);
    running = false;
    await Promise.all(callers);

    const isAnsweredWithin = milliseconds => lookup =>
        typeof lookup.status === "number" && lookup.status !== 0 && lookup.milliseconds <= milliseconds;
    const long = lookups.filter(lookup => !isAnsweredWithin(routeTimeoutMilliseconds)(lookup)).length;
    const unanswered = lookups
        .filter(lookup => !isAnsweredWithin(routeTimeoutMilliseconds + lateMilliseconds)(lookup)).length;
    for (const { name } of deployment.routers) {
        record.list(
            `lookups at ${name}, by the time at which they were sent: status, time to the answer`,
            lookups.filter(({ router }) => router === name).map(({ startedAt, status, milliseconds }) =>
                `${(startedAt / 1_000).toFixed(2)} s: ${status}, ${Math.round(milliseconds)} ms`
            ),
        );
    }
    record.list(
        "streams, by the time at which they ended: status, length",
        streams.map(({ endedAt, status, bytes }) => `${(endedAt / 1_000).toFixed(2)} s: ${status}, ${bytes} B`),
    );
    const spoiled = streams.filter(({ eventsWithoutId }) => eventsWithoutId >= fewestEvents);
    record.list(
        "streams with bytes that are no answer, by the time at which they ended: status and proof, events without ID, duration",
        spoiled.map(({ endedAt, head, hasSeal, eventsWithoutId, milliseconds }) =>
            `${(endedAt / 1_000).toFixed(2)} s: ${head}${
                hasSeal ? ", seal" : ""
            }, ${eventsWithoutId}, ${milliseconds} ms`
        ),
    );
    const others = streams.filter(stream => !spoiled.includes(stream));
    const whole = others.filter(({ status, eventsWithoutId }) => status === 200 && eventsWithoutId === 0).length;
    record.write(
        `streams: ${streams.length} ended, ${pouredStreams} were poured; of ${others.length} others ${whole} were whole`,
    );
    record.write(
        `lookups: ${lookups.length}; requests that replicas ran: ${replicas.map(({ ran }) => ran.length).join(", ")}`,
    );
    record.write(
        `Beside: ${long} lookups lasted longer than ${routeTimeoutMilliseconds} ms, ${unanswered} of them had no answer `
            + `${lateMilliseconds} ms later`,
    );
    record.write(`MIXED: ${spoiled.length} callers got ${fewestEvents} or more events without ID`);
    return spoiled.length > 0;
});
