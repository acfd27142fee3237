/* test: what the files of the test program share. */
#ifndef SP_TEST_H
#define SP_TEST_H

/* A unit test; a list of them ends with a NULL suite. */
typedef struct Unit {
    const char *suite, *name;
    void (*run)(void);
} Unit;

/* flow.c */
extern const Unit flow_units[];

/* unit.c: CUnit; returns the exit status */
int run_units(void);
/* script.c: a scenario file; returns the exit status */
int run_script(const char *file);
/* load.c: a file of load patterns; returns the exit status */
int run_load(const char *file);
/* soak.c: random schedules; returns the exit status */
int run_soak(int argc, char **argv);

#endif
