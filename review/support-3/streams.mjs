/**
 * Callers of streams, in a process of their own: requests come at a steady rate, whatever becomes of the earlier ones. They read
 * everything, and leave at their time limit or after a gap of two seconds. Tells its parent of each answer: of its events, and
 * how many of them had no ID.
 */
import { request } from "node:http";

const { host, port, perSecond, name } = JSON.parse(process.argv[2]);
const timeLimitMilliseconds = 20_000;
const longestGapMilliseconds = 2_000;
let count = 0;

function send() {
    const id = `${name}${count++}`;
    const sentAt = Date.now();
    let bytes = 0;
    let events = 0;
    let eventsWithoutId = 0;
    let rest = "";
    /** Of the head; that of an answer that never ends stands here only. */
    let head;
    let hasSeal;
    let isOver = false;
    const finish = status => {
        if (!isOver) {
            isOver = true;
            clearTimeout(timer);
            process.send?.({
                id,
                status,
                bytes,
                events,
                eventsWithoutId,
                head,
                hasSeal,
                milliseconds: Date.now() - sentAt,
            });
        }
    };
    const sent = request({
        agent: false,
        host,
        port,
        method: "POST",
        path: "/report/1",
        headers: {
            "Host": "yard.example",
            "Authorization": "Bearer key-1",
            "X-Attempt-Id": id,
            "X-Model": "m",
            "X-Token-Counts": "760,24",
            "X-Prompt-Prefix": `aa01:40,${(count % 9).toString(16)}b:200,${count.toString(16)}c:500`,
            "X-Deadline-Ms": String(timeLimitMilliseconds),
        },
    }, response => {
        response.on("data", chunk => {
            bytes += chunk.length;
            const blocks = (rest + chunk.toString("latin1")).split("\n\n");
            rest = blocks.pop();
            events += blocks.length;
            eventsWithoutId += blocks.filter(event => !/^id: \d+$/m.test(event)).length;
        });
        head = response.statusCode;
        hasSeal = response.headers["x-replica-seal"] !== undefined;
        response.on("error", () => finish(0));
        response.on("end", () => finish(response.complete ? response.statusCode : 0));
    });
    const leave = () => {
        finish("left");
        sent.destroy();
    };
    const timer = setTimeout(leave, timeLimitMilliseconds);
    sent.setTimeout(longestGapMilliseconds, leave);
    sent.on("error", () => finish(0));
    sent.end("prompt");
}

setInterval(send, 1_000 / perSecond);
process.on("disconnect", () => process.exit(0));
