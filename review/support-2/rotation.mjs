/** The platform's question whether a router is ready: two misses in a row take it out of rotation, one good answer brings it back. */

const intervalMilliseconds = 1_000;

export class Rotation {
    #misses = new Map();
    #timers;

    constructor(routers) {
        routers.forEach(router => this.#misses.set(router, 0));
        this.#timers = routers.map(router =>
            setInterval(async () => {
                const ready = router.running && await router.isReady();
                this.#misses.set(router, ready ? 0 : this.#misses.get(router) + 1);
            }, intervalMilliseconds)
        );
    }

    has(router) {
        return this.#misses.get(router) < 2;
    }

    stop() {
        this.#timers.forEach(timer => clearInterval(timer));
    }
}
