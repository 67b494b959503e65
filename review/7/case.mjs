/**
 * The routers are stopped in turn with SIGTERM and start again. Clients on slow lines take up to 2.5 s for the head of a request.
 * The case counts the bookings that a router passed on to a server, and whose connection then ended without an answer.
 */
import { connect } from "node:net";
import { runCase, trouble } from "../support-2/case.mjs";
import { kinds, newId } from "../support-2/client.mjs";
import { callerHost, configuration, key } from "../support-2/configuration.mjs";
import { Rotation } from "../support-2/rotation.mjs";
import { AppServer, Engine, sleep } from "../support-2/servers.mjs";

/** Within `header_timeout_ms`, 3,000. */
const longestHeadMilliseconds = 2_500;
const bookingMilliseconds = 85;
const connectionsPerSecond = 30;
const rounds = 5;
const roundMilliseconds = 15_000;
/** Pause between the stops of two routers. */
const gapMilliseconds = 1_000;
const patienceMilliseconds = 8_000;
const recordedMilliseconds = 4_000;
/** `grace_s` and 1 s, from the SIGTERM. */
const plannedMilliseconds = 9_000;
const routeTimeoutMilliseconds = 800;
const routerNames = ["kano-a", "kano-b", "kaduna-c"].flatMap(zone =>
    [1, 2, 3, 4, 5].map(number => [`edge-${zone}-${number}`, zone])
);

/** Opens a connection and sends the head of a booking in two parts, the second one after the time. */
function bookSlowly(router, milliseconds) {
    const { method, path, deadline, body } = kinds.book;
    const result = { id: newId(), router: router.name, openedAt: performance.now(), sentAt: undefined, text: "" };
    return new Promise(resolve => {
        const socket = connect(router.front.port, router.front.host);
        const patience = setTimeout(() => socket.destroy(), patienceMilliseconds);
        socket.on("connect", () => {
            socket.write(`${method} ${path} HTTP/1.1\r\nHost: ${callerHost}\r\nX-Attempt-Id: ${result.id}\r\n`);
            setTimeout(() => {
                if (!socket.destroyed) {
                    result.sentAt = performance.now();
                    socket.write(
                        `Authorization: Bearer ${key}\r\nX-Deadline-Ms: ${deadline}\r\nContent-Length: ${body.length}\r\n`
                            + `\r\n${body}`,
                    );
                }
            }, milliseconds);
        });
        socket.on("data", data => {
            result.text += data;
            const [head, content] = result.text.split("\r\n\r\n", 2);
            const length = Number(/content-length: (\d+)/i.exec(head)?.[1]);
            result.complete = content !== undefined && content.length === length;
            if (result.complete) {
                socket.end();
            }
        });
        socket.on("error", error => result.error = error.code);
        socket.on("close", () => {
            clearTimeout(patience);
            result.endedAt = performance.now();
            resolve(result);
        });
    });
}

await runCase(import.meta.url, async (deployment, write) => {
    const apps = ["kano-a", "kano-b", "kaduna-c"].map(zone =>
        new AppServer(deployment.store, { service: "app", zone, slots: 6 })
    );
    apps.forEach(app => app.workMilliseconds = bookingMilliseconds);
    const engines = [1, 2].map(() => new Engine(deployment.store, { service: "pool", zone: "kano-a", slots: 134 }));
    await deployment.addServers([...apps, ...engines]);
    deployment.publish(configuration(7));
    const routers = await deployment.startRouters(routerNames);
    const rotation = new Rotation(routers);
    await sleep(1_500);
    const bookings = [];
    let running = true;
    const clients = routers.map(async router => {
        while (running) {
            if (rotation.has(router)) {
                bookings.push(bookSlowly(router, Math.random() * longestHeadMilliseconds));
            }
            await sleep(2 * Math.random() * 1_000 / connectionsPerSecond);
        }
    });
    let stops = 0;
    const stoppedAt = new Map(routers.map(({ name }) => [name, []]));
    for (let round = 0; round < rounds; round++) {
        const endsAt = performance.now() + roundMilliseconds;
        for (const router of trouble ? routers : []) {
            write(`SIGTERM to ${router.name}`);
            stops++;
            stoppedAt.get(router.name).push(performance.now());
            router.signal("SIGTERM");
            void router.exited.then(() => {
                write(`${router.name} has ended and starts again`);
                router.start();
            });
            await sleep(gapMilliseconds);
        }
        await sleep(Math.max(0, endsAt - performance.now()));
    }
    running = false;
    await Promise.all(clients);
    const results = await Promise.all(bookings);
    rotation.stop();
    const ran = new Map(apps.flatMap(({ runs }) => runs).map(run => [run.id, run]));
    // Planned work, and not a request that ran into its time limit.
    const isDuringStop = ({ router, sentAt, endedAt }) =>
        stoppedAt.get(router).some(time =>
            sentAt > time && endedAt < time + plannedMilliseconds && endedAt - sentAt < routeTimeoutMilliseconds
        );
    const lost = results.filter(result =>
        result.sentAt !== undefined && ran.has(result.id) && result.complete !== true && isDuringStop(result)
    );
    for (const { id, router, openedAt, sentAt, endedAt, error } of lost) {
        const { server, beganAt } = ran.get(id);
        const seconds = time => (time / 1_000).toFixed(3);
        write(
            `lost ${id}: connected to ${router} at ${seconds(openedAt)}, last byte sent at ${
                seconds(sentAt)
            }, reached ${server} `
                + `at ${seconds(beganAt)}, connection ended at ${seconds(endedAt)}${
                    error === undefined ? "" : ` with ${error}`
                }`,
        );
    }
    const isNearStop = ({ router, sentAt }) =>
        stoppedAt.get(router).some(time => sentAt > time && sentAt < time + recordedMilliseconds);
    write(
        "bookings in the 4 s after the SIGTERM of their router: ID, router, last byte sent, status, server that ran it",
    );
    for (const { id, router, sentAt, text, complete } of results.filter(isNearStop)) {
        const status = complete ? text.slice(9, 12) : "none";
        write(`${id} ${router} ${(sentAt / 1_000).toFixed(2)} ${status} ${ran.get(id)?.server ?? "none"}`);
    }
    const answered = results.filter(({ complete }) => complete).length;
    const unread = results.filter(({ id, complete }) => complete !== true && !ran.has(id)).length;
    write(
        `stops: ${stops}; bookings: ${results.length}, answered: ${answered}, connection closed before they were read: ${unread}`,
    );
    write(`bookings that were passed on and whose connection ended without an answer: ${lost.length}`);
    return lost.length > 0;
});
