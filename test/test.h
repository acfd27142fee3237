/* test: declarations shared by the files of sptest. */
#ifndef SP_TEST_H
#define SP_TEST_H

/* A unit test. A list of them ends with an entry whose suite is NULL. */
typedef struct Unit {
    const char *suite, *name;
    void (*run)(void);
} Unit;

/* flow.c */
extern const Unit flow_units[];
extern const Unit wire_units[];

/* passing.c */
extern const Unit passing_units[];

/* pool.c */
extern const Unit pool_units[];

/* answers.c */
extern const Unit answer_units[];
/* write_seeds writes the cases of test/answers.txt as inputs of the fuzz
   target, a file each; returns the exit status */
int write_seeds(const char *dir);

/* eviction.c */
extern const Unit eviction_units[];

/* held.c */
extern const Unit held_units[];

/* directory.c */
extern const Unit directory_units[];

/* chooser.c */
extern const Unit chooser_units[];

/* ranks.c */
extern const Unit ranks_units[];

/* fairqueue.c */
extern const Unit fairqueue_units[];

/* retryparts.c */
extern const Unit retryparts_units[];

/* fairshare.c */
extern const Unit fairshare_units[];
/* quota.c, quotaload.c */
extern const Unit quota_units[];
extern const Unit quota_load_units[];
/* capacity.c */
extern const Unit capacity_units[];

/* unit.c: runs the CUnit tests; returns the exit status */
int run_units(void);
/* script.c: runs a scenario file; returns the exit status */
int run_script(const char *file);
/* load.c: runs a file of load patterns; returns the exit status */
int run_load(const char *file);
/* soak.c: runs random fault schedules; returns the exit status */
int run_soak(int argc, char **argv);
/* routes.c: prints the cost of reading configurations; returns 0 */
int run_routes(void);

#endif
